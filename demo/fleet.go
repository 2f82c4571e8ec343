package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/chivemill/chivemill/internal/proctest"
	"github.com/chivemill/chivemill/vmlist"
)

// The search service, its number of shards and of replicas per shard, and the number of entry daemons.
const (
	service  = "loja-web"
	shards   = 4
	replicas = 3
	entries  = 2
	// stopTimeout limits the wait for a process to exit after SIGTERM.
	stopTimeout = 15 * time.Second
)

// process is a started process of the demonstration.
type process struct {
	*proctest.Process
	name   string
	killed bool
}

// fleet holds all processes of the demonstration.
type fleet struct {
	dir, bin     string
	processes    []*process
	backends     map[string]*process
	entryURLs    []string
	operatorURLs []string
	storeURL     string
}

// startProcess writes the settings file of a process and starts it.
func (f *fleet) startProcess(binary, name, settings string) (*process, error) {
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, eris.Wrapf(err, "write settings of %s", name)
	}
	started, err := proctest.StartFile(filepath.Join(f.bin, binary), file, name)
	if err != nil {
		return nil, err
	}
	p := &process{Process: started, name: name}
	f.processes = append(f.processes, p)
	return p, nil
}

// start starts the stand-in backend servers, the stand-in store and the entry daemons.
func (f *fleet) start() error {
	addresses, err := proctest.FreeAddresses(1 + shards*replicas + 3*entries)
	if err != nil {
		return err
	}
	storeAddress := addresses[0]
	f.storeURL = "http://" + storeAddress
	entryAddresses := addresses[1+shards*replicas:]
	if err := f.startBackends(addresses[1:], entryAddresses); err != nil {
		return err
	}
	settings := fmt.Sprintf("listen: %s\nvms: %s\n", storeAddress, filepath.Join(f.dir, "vms.json"))
	if _, err := f.startProcess("standin-store", "store", settings); err != nil {
		return err
	}
	return f.startEntries(entryAddresses)
}

// startBackends starts the backend servers and writes the VM list, which also has the peer addresses of the entry
// daemons.
func (f *fleet) startBackends(addresses, entryAddresses []string) error {
	f.backends = make(map[string]*process)
	var vms []vmlist.VM
	for i := range entries {
		vms = append(vms, vmlist.VM{
			ID: entryName(i), Role: vmlist.RoleEntry, DataCentre: "braga-a", Address: entryAddresses[3*i+2], State: vmlist.StateLive,
		})
	}
	for s := range shards {
		for r := range replicas {
			name := fmt.Sprintf("%s-%d-%d", service, s, r)
			address := addresses[s*replicas+r]
			vms = append(vms, vmlist.VM{
				ID: name, Role: vmlist.RoleBackend, Service: service, DataCentre: "braga-a", Address: address, State: vmlist.StateLive,
			})
			settings := fmt.Sprintf("replica: %s\nservice: %s\ndata_centre: braga-a\nlisten: %s\nshards: %d\nshard: %d\ndrain_for: 3s\n",
				name, service, address, shards, s)
			p, err := f.startProcess("standin-backend", name, settings)
			if err != nil {
				return err
			}
			f.backends[name] = p
		}
	}
	data, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(filepath.Join(f.dir, "vms.json"), data, 0o600), "write VM list")
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// startEntries starts the entry daemons, each with an address for callers, for operators and for peers.
func (f *fleet) startEntries(addresses []string) error {
	for i := range entries {
		entryAddresses := addresses[3*i : 3*i+3]
		settings := fmt.Sprintf(`node: %s
data_centre: braga-a
region: braga
listen: %s
operator: %s
peer: %s
store:
  endpoints: [%s]
  vm_list: %s
poll: 200ms
balancer_lag: 500ms
join_delay: 1s
`, entryName(i), entryAddresses[0], entryAddresses[1], entryAddresses[2], f.storeURL, f.storeURL)
		if _, err := f.startProcess("chivemill-entry", entryName(i), settings); err != nil {
			return err
		}
		f.entryURLs = append(f.entryURLs, "http://"+entryAddresses[0])
		f.operatorURLs = append(f.operatorURLs, "http://"+entryAddresses[1])
	}
	return nil
}

// runCtl runs chivemillctl, the command for operators, and prints its output.
func (f *fleet) runCtl(args ...string) error {
	args = append([]string{"--store", f.storeURL, "--author", "demo"}, args...)
	out, err := exec.Command(filepath.Join(f.bin, "chivemillctl"), args...).CombinedOutput()
	command := "chivemillctl " + strings.Join(args[4:], " ")
	fmt.Printf("  $ %s\n%s", command, indent(string(out)))
	return eris.Wrap(err, command)
}

// withEntryFlags adds the operators' URLs of the entry daemons to the arguments of a command.
func (f *fleet) withEntryFlags(args ...string) []string {
	for _, url := range f.operatorURLs {
		args = append(args, "--entry", url)
	}
	return args
}

// kill ends a process with SIGKILL.
func (p *process) kill() {
	p.killed = true
	p.Kill()
}

// stop sends SIGTERM to the process if it is running and waits for its end. It returns an error unless the process
// exits with status 0 within stopTimeout or was killed before.
func (p *process) stop() error {
	if p.killed {
		return nil
	}
	if !p.Exited() {
		if err := p.Signal(syscall.SIGTERM); err != nil {
			return eris.Wrap(err, p.name)
		}
	}
	status, err := p.Wait(stopTimeout)
	if err == nil && status != 0 {
		err = eris.Errorf("exit status %d: %s", status, p.Log())
	}
	return eris.Wrap(err, p.name)
}

// stopAll stops the entry daemons before the other processes, so that no request loses its backend server. The
// processes of each group stop in parallel.
func (f *fleet) stopAll() error {
	var others, entryDaemons []*process
	for _, p := range f.processes {
		if strings.HasPrefix(p.name, "entry-") {
			entryDaemons = append(entryDaemons, p)
		} else {
			others = append(others, p)
		}
	}
	if err := stopGroup(entryDaemons); err != nil {
		return err
	}
	return stopGroup(others)
}

// stopGroup stops the processes in parallel and returns the first error.
func stopGroup(processes []*process) error {
	var group errgroup.Group
	for _, p := range processes {
		group.Go(p.stop)
	}
	return group.Wait()
}

// killAll kills all processes that are still running, as after an error.
func (f *fleet) killAll() {
	for _, p := range f.processes {
		p.kill()
	}
}
