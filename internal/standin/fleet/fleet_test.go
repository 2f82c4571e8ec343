package fleet_test

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/deployment"
	"github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/fleet"
	"github.com/chivemill/chivemill/internal/standin/store"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/vmlist"
)

// loadExample returns the description of a deployment from the examples.
func loadExample(t *testing.T) deployment.Deployment {
	d, err := deployment.Load("../../../examples/gravura-canina/services.yaml")
	must.NoError(t, err)
	return d
}

// Guards against generated files that the processes cannot load, shards with too few replicas, an address that is used
// twice, and a VM list that does not match the processes.
func TestGeneratedFilesLoad(t *testing.T) {
	for scale, replicas := range map[float64]int{1: 135, 0.1: 3 + 2*3 + 4 + 2, 0.01: 3 + 3 + 1 + 1} {
		plan, err := fleet.Generate(loadExample(t), fleet.Options{Scale: scale, Host: netip.MustParseAddr("127.0.0.1"), BasePort: 30000})
		must.NoError(t, err)
		must.SliceLen(t, replicas, plan.Backends)
		dir := filepath.Join(t.TempDir(), "fleet")
		must.NoError(t, plan.Write(dir))
		var storeSettings store.Settings
		must.NoError(t, settings.Load(filepath.Join(dir, fleet.StoreFile), &storeSettings))
		data, err := os.ReadFile(storeSettings.VMListFile)
		must.NoError(t, err)
		var vms []vmlist.VM
		must.NoError(t, json.Unmarshal(data, &vms))
		must.SliceLen(t, replicas+7, vms)
		addresses := map[string]string{storeSettings.Listen: "store"}
		replicasByShard := map[string]map[int]int{}
		for _, vm := range vms {
			if vm.Role == vmlist.RoleEntry {
				e := settings.DefaultEntry()
				must.NoError(t, settings.Load(filepath.Join(dir, fleet.EntryDir, vm.ID+".yaml"), &e))
				must.Eq(t, vm.Address, e.PeerAddress)
				addresses[e.CallerAddress], addresses[e.OperatorAddress], addresses[e.PeerAddress] = vm.ID, vm.ID, vm.ID
				continue
			}
			b := backend.Default()
			must.NoError(t, settings.Load(filepath.Join(dir, fleet.BackendDir, vm.ID+".yaml"), &b))
			must.Eq(t, vm.Address, b.Listen)
			must.Eq(t, vm.DataCentre, b.DataCentre)
			addresses[b.Listen] = vm.ID
			if b.Shards > 0 {
				if replicasByShard[b.Service] == nil {
					replicasByShard[b.Service] = make(map[int]int)
				}
				replicasByShard[b.Service][b.Shard]++
				must.MapLen(t, b.Shard+1, replicasByShard[b.Service])
			}
		}
		must.MapLen(t, 1+3*7+replicas, addresses)
		for _, counts := range replicasByShard {
			for shard, n := range counts {
				must.Eq(t, 3, n, must.Sprintf("replicas of shard %d", shard))
			}
		}
		must.Error(t, plan.Write(dir))
	}
}

// Guards against plans with ports out of range, with a scale out of range or with a negative number of entry daemons.
func TestGenerateRejectsInvalidOptions(t *testing.T) {
	host := netip.MustParseAddr("127.0.0.1")
	for _, o := range []fleet.Options{
		{Scale: 0, Host: host, BasePort: 1}, {Scale: 1.5, Host: host, BasePort: 1},
		{Scale: 1, Host: host, BasePort: 65500}, {Scale: 1, Host: host, BasePort: 1, EntryDaemons: -1},
	} {
		_, err := fleet.Generate(loadExample(t), o)
		must.Error(t, err)
	}
}
