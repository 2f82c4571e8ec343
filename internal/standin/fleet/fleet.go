// Package fleet generates the settings files and the VM list of stand-in processes for a deployment. It starts no
// process. Plans are plain values.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/deployment"
	"github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/store"
	"github.com/chivemill/chivemill/internal/strictyaml"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/vmlist"
)

// Options of a plan.
type Options struct {
	// Scale is the factor of the deployment's size, above 0 and up to 1.
	Scale float64
	// Host is the IP address of every process.
	Host netip.Addr
	// BasePort is the store's port. The other processes take the ports after it.
	BasePort int
	// Entries is the number of entry daemons; 0 takes the deployment's.
	Entries int
}

// Names of the generated files and directories.
const (
	StoreFile  = "store.yaml"
	VMsFile    = "vms.json"
	BackendDir = "backends"
	EntryDir   = "entries"
)

// portsPerEntry are the callers', operators' and peers' port.
const portsPerEntry = 3

// maxPort is the highest TCP port.
const maxPort = 65535

// Plan holds the settings of every process of a stand-in fleet.
type Plan struct {
	Store    store.Settings
	VMs      []vmlist.VM
	Backends []backend.Settings
	Entries  []settings.Entry
}

// Generate returns the plan of a deployment. The order of the processes and their ports depend on the arguments
// only.
func Generate(d deployment.Deployment, o Options) (Plan, error) {
	d, err := d.ScaledDown(o.Scale)
	if err != nil {
		return Plan{}, err
	}
	if o.Entries == 0 {
		o.Entries = d.Entry.Daemons
	}
	if o.Entries < 0 {
		return Plan{}, eris.Errorf("%d entry daemons", o.Entries)
	}
	needed := 1 + portsPerEntry*o.Entries + d.ReplicaCount()
	if o.BasePort < 1 || o.BasePort+needed-1 > maxPort {
		return Plan{}, eris.Errorf("%d ports from %d on are not within 1 to %d", needed, o.BasePort, maxPort)
	}
	g := &generator{deployment: d, host: o.Host, port: o.BasePort}
	g.plan.Store = store.Settings{Listen: g.address(), VMs: VMsFile}
	for i := range o.Entries {
		g.addEntry(i)
	}
	for _, s := range d.Services {
		for instance := range s.Instances {
			for replica := range s.Replicas {
				g.addBackend(s, instance, replica)
			}
		}
	}
	return g.plan, nil
}

type generator struct {
	deployment deployment.Deployment
	host       netip.Addr
	port       int
	plan       Plan
}

// address returns the next free address.
func (g *generator) address() string {
	a := netip.AddrPortFrom(g.host, uint16(g.port))
	g.port++
	return a.String()
}

func (g *generator) addEntry(i int) {
	set := settings.DefaultEntry()
	set.Node = fmt.Sprintf("entry-%d", i+1)
	set.DataCentre = g.deployment.EntryDataCentre(i)
	set.Region = g.deployment.Region(set.DataCentre)
	set.Listen, set.Operator, set.Peer = g.address(), g.address(), g.address()
	url := "http://" + g.plan.Store.Listen
	set.Store = settings.Store{Endpoints: []string{url}, VMList: url}
	set.LinkDelays = g.delaysTo(set.DataCentre)
	g.plan.Entries = append(g.plan.Entries, set)
	g.plan.VMs = append(g.plan.VMs, vmlist.VM{
		ID: set.Node, Role: vmlist.RoleEntry, DataCentre: set.DataCentre, Address: set.Peer, State: vmlist.StateLive,
	})
}

func (g *generator) addBackend(s deployment.Service, instance, replica int) {
	set := backend.Default()
	set.Replica = fmt.Sprintf("%s-%d-%d", s.Name, instance+1, replica+1)
	set.Service = s.Name
	set.DataCentre = s.DataCentreOf(instance, replica)
	set.Listen = g.address()
	if s.Kind == deployment.KindSearch {
		set.Shards, set.Shard = s.Instances, instance
	}
	set.Slots, set.Connections, set.ConnectionCost = s.Slots, s.Connections, s.ConnectionCost
	set.Delays = g.delaysTo(set.DataCentre)
	g.plan.Backends = append(g.plan.Backends, set)
	g.plan.VMs = append(g.plan.VMs, vmlist.VM{
		ID: set.Replica, Role: vmlist.RoleBackend, Service: s.Name, DataCentre: set.DataCentre,
		Address: set.Listen, State: vmlist.StateLive,
	})
}

// delaysTo returns the one-way delays from the other data centres.
func (g *generator) delaysTo(dataCentre string) map[string]strictyaml.Duration {
	delays := make(map[string]strictyaml.Duration)
	for _, from := range g.deployment.DataCentres {
		if d := g.deployment.Delay(from.Name, dataCentre); d > 0 {
			delays[from.Name] = strictyaml.Duration(d)
		}
	}
	return delays
}

// Write writes the plan below dir, which must not exist or be empty: store.yaml, vms.json, entries/<node>.yaml and
// backends/<replica>.yaml. The store's settings name vms.json by its absolute path.
func (p Plan) Write(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return eris.Wrap(err, "stand-in fleet")
	}
	if found, err := os.ReadDir(dir); err == nil && len(found) > 0 {
		return eris.Errorf("%s is not empty", dir)
	}
	for _, sub := range []string{EntryDir, BackendDir} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return eris.Wrap(err, "stand-in fleet")
		}
	}
	vms, err := json.MarshalIndent(p.VMs, "", "  ")
	if err != nil {
		return eris.Wrap(err, "VM list")
	}
	if err := writeFile(filepath.Join(dir, VMsFile), append(vms, '\n')); err != nil {
		return err
	}
	storeSettings := p.Store
	storeSettings.VMs = filepath.Join(dir, p.Store.VMs)
	if err := writeSettings(filepath.Join(dir, StoreFile), &storeSettings); err != nil {
		return err
	}
	for _, e := range p.Entries {
		if err := writeSettings(filepath.Join(dir, EntryDir, e.Node+".yaml"), &e); err != nil {
			return err
		}
	}
	for _, b := range p.Backends {
		if err := writeSettings(filepath.Join(dir, BackendDir, b.Replica+".yaml"), &b); err != nil {
			return err
		}
	}
	return nil
}

func writeSettings(file string, set settings.Checker) error {
	data, err := settings.Format(set)
	if err != nil {
		return eris.Wrapf(err, "settings %s", file)
	}
	return writeFile(file, data)
}

func writeFile(file string, data []byte) error {
	return eris.Wrap(os.WriteFile(file, data, 0o644), "stand-in fleet")
}
