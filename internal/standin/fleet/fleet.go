// Package fleet generates the settings files and the VM list for a fleet of stand-in processes, from the description of
// a deployment. It starts no processes.
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

// Options holds the options of Generate.
type Options struct {
	// Scale is the factor by which the deployment is scaled down, above 0 and up to 1.
	Scale float64
	// Host is the IP address on which all processes listen.
	Host netip.Addr
	// BasePort is the port of the store. The other processes use the ports after it.
	BasePort int
	// EntryDaemons is the number of entry daemons; 0 means as many as the deployment has.
	EntryDaemons int
}

// Names of the generated files and directories.
const (
	StoreFile  = "store.yaml"
	VMListFile = "vms.json"
	BackendDir = "backends"
	EntryDir   = "entries"
)

// portsPerEntry is the number of ports of an entry daemon: one each for callers, operators and peers.
const portsPerEntry = 3

// maxPort is the highest valid TCP port.
const maxPort = 65535

// Plan holds the settings of every process of a stand-in fleet.
type Plan struct {
	Store    store.Settings
	VMs      []vmlist.VM
	Backends []backend.Settings
	Entries  []settings.Entry
}

// Generate returns the plan for a deployment. The order of the processes and their ports are deterministic.
func Generate(d deployment.Deployment, opt Options) (Plan, error) {
	d, err := d.ScaledDown(opt.Scale)
	if err != nil {
		return Plan{}, err
	}
	if opt.EntryDaemons == 0 {
		opt.EntryDaemons = d.Entry.Daemons
	}
	if opt.EntryDaemons < 0 {
		return Plan{}, eris.Errorf("number of entry daemons is negative: %d", opt.EntryDaemons)
	}
	neededPorts := 1 + portsPerEntry*opt.EntryDaemons + d.ReplicaCount()
	if opt.BasePort < 1 || opt.BasePort+neededPorts-1 > maxPort {
		return Plan{}, eris.Errorf("%d ports starting at port %d are outside the range 1 to %d", neededPorts, opt.BasePort, maxPort)
	}
	g := &generator{deployment: d, host: opt.Host, nextPort: opt.BasePort}
	g.plan.Store = store.Settings{Listen: g.nextAddress(), VMListFile: VMListFile}
	for i := range opt.EntryDaemons {
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

// generator builds a plan and assigns the ports one by one.
type generator struct {
	deployment deployment.Deployment
	host       netip.Addr
	nextPort   int
	plan       Plan
}

// nextAddress returns the host with the next unassigned port.
func (g *generator) nextAddress() string {
	address := netip.AddrPortFrom(g.host, uint16(g.nextPort))
	g.nextPort++
	return address.String()
}

func (g *generator) addEntry(i int) {
	cfg := settings.DefaultEntry()
	cfg.Node = fmt.Sprintf("entry-%d", i+1)
	cfg.DataCentre = g.deployment.EntryDataCentre(i)
	cfg.Region = g.deployment.Region(cfg.DataCentre)
	cfg.CallerAddress, cfg.OperatorAddress, cfg.PeerAddress = g.nextAddress(), g.nextAddress(), g.nextAddress()
	url := "http://" + g.plan.Store.Listen
	cfg.Store = settings.Store{Endpoints: []string{url}, VMListURL: url}
	cfg.LinkDelays = g.delaysTo(cfg.DataCentre)
	g.plan.Entries = append(g.plan.Entries, cfg)
	g.plan.VMs = append(g.plan.VMs, vmlist.VM{
		ID: cfg.Node, Role: vmlist.RoleEntry, DataCentre: cfg.DataCentre, Address: cfg.PeerAddress, State: vmlist.StateLive,
	})
}

func (g *generator) addBackend(s deployment.Service, instance, replica int) {
	cfg := backend.Default()
	cfg.Replica = fmt.Sprintf("%s-%d-%d", s.Name, instance+1, replica+1)
	cfg.Service = s.Name
	cfg.DataCentre = s.DataCentreOf(instance, replica)
	cfg.Listen = g.nextAddress()
	if s.Kind == deployment.KindSearch {
		cfg.Shards, cfg.Shard = s.Instances, instance
	}
	cfg.Slots, cfg.MaxConnections, cfg.ConnectionCost = s.Slots, s.Connections, s.ConnectionCost
	cfg.NetworkDelays = g.delaysTo(cfg.DataCentre)
	g.plan.Backends = append(g.plan.Backends, cfg)
	g.plan.VMs = append(g.plan.VMs, vmlist.VM{
		ID: cfg.Replica, Role: vmlist.RoleBackend, Service: s.Name, DataCentre: cfg.DataCentre,
		Address: cfg.Listen, State: vmlist.StateLive,
	})
}

// delaysTo returns the one-way network delays to the data centre by the data centre of the sender, without those of 0.
func (g *generator) delaysTo(dataCentre string) map[string]strictyaml.Duration {
	delays := make(map[string]strictyaml.Duration)
	for _, from := range g.deployment.DataCentres {
		if d := g.deployment.Delay(from.Name, dataCentre); d > 0 {
			delays[from.Name] = strictyaml.Duration(d)
		}
	}
	return delays
}

// Write writes the plan to dir as store.yaml, vms.json, entries/<node>.yaml and backends/<replica>.yaml. If dir exists,
// it must be empty. The settings of the store contain the absolute path of vms.json.
func (p Plan) Write(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return eris.Wrap(err, "resolve output directory")
	}
	if entries, err := os.ReadDir(dir); err == nil && len(entries) > 0 {
		return eris.Errorf("directory %s is not empty", dir)
	}
	for _, subdir := range []string{EntryDir, BackendDir} {
		if err := os.MkdirAll(filepath.Join(dir, subdir), 0o755); err != nil {
			return eris.Wrap(err, "create output directory")
		}
	}
	vms, err := json.MarshalIndent(p.VMs, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode VM list")
	}
	if err := writeFile(filepath.Join(dir, VMListFile), append(vms, '\n')); err != nil {
		return err
	}
	storeSettings := p.Store
	storeSettings.VMListFile = filepath.Join(dir, p.Store.VMListFile)
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

func writeSettings(file string, cfg settings.Checker) error {
	data, err := settings.Format(cfg)
	if err != nil {
		return eris.Wrapf(err, "format settings file %s", file)
	}
	return writeFile(file, data)
}

func writeFile(file string, data []byte) error {
	return eris.Wrap(os.WriteFile(file, data, 0o644), "write fleet file")
}
