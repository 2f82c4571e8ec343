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

func load(t *testing.T) deployment.Deployment {
	d, err := deployment.Load("../../../examples/gravura-canina/services.yaml")
	must.NoError(t, err)
	return d
}

// Guards against generated files that the processes reject, shards without replicas, shared addresses, and a VM
// list that differs from the processes.
func TestGeneratedFilesLoad(t *testing.T) {
	for scale, replicas := range map[float64]int{1: 135, 0.1: 3 + 2*3 + 4 + 2, 0.01: 3 + 3 + 1 + 1} {
		plan, err := fleet.Generate(load(t), fleet.Options{Scale: scale, Host: netip.MustParseAddr("127.0.0.1"), BasePort: 30000})
		must.NoError(t, err)
		must.SliceLen(t, replicas, plan.Backends)
		dir := filepath.Join(t.TempDir(), "fleet")
		must.NoError(t, plan.Write(dir))
		var set store.Settings
		must.NoError(t, settings.Load(filepath.Join(dir, fleet.StoreFile), &set))
		data, err := os.ReadFile(set.VMs)
		must.NoError(t, err)
		var vms []vmlist.VM
		must.NoError(t, json.Unmarshal(data, &vms))
		must.SliceLen(t, replicas+7, vms)
		addresses := map[string]string{set.Listen: "store"}
		shards := map[string]map[int]int{}
		for _, vm := range vms {
			if vm.Role == vmlist.RoleEntry {
				e := settings.DefaultEntry()
				must.NoError(t, settings.Load(filepath.Join(dir, fleet.EntryDir, vm.ID+".yaml"), &e))
				must.Eq(t, vm.Address, e.Peer)
				addresses[e.Listen], addresses[e.Operator], addresses[e.Peer] = vm.ID, vm.ID, vm.ID
				continue
			}
			b := backend.Default()
			must.NoError(t, settings.Load(filepath.Join(dir, fleet.BackendDir, vm.ID+".yaml"), &b))
			must.Eq(t, vm.Address, b.Listen)
			must.Eq(t, vm.DataCentre, b.DataCentre)
			addresses[b.Listen] = vm.ID
			if b.Shards > 0 {
				if shards[b.Service] == nil {
					shards[b.Service] = make(map[int]int)
				}
				shards[b.Service][b.Shard]++
				must.MapLen(t, b.Shard+1, shards[b.Service])
			}
		}
		must.MapLen(t, 1+3*7+replicas, addresses)
		for _, byShard := range shards {
			for shard, n := range byShard {
				must.Eq(t, 3, n, must.Sprintf("replicas of shard %d", shard))
			}
		}
		must.Error(t, plan.Write(dir))
	}
}

// Guards against fleets whose ports do not exist, and scales that mean nothing.
func TestGenerateRefuses(t *testing.T) {
	host := netip.MustParseAddr("127.0.0.1")
	for _, o := range []fleet.Options{
		{Scale: 0, Host: host, BasePort: 1}, {Scale: 1.5, Host: host, BasePort: 1},
		{Scale: 1, Host: host, BasePort: 65500}, {Scale: 1, Host: host, BasePort: 1, Entries: -1},
	} {
		_, err := fleet.Generate(load(t), o)
		must.Error(t, err)
	}
}
