package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivemill/chivemill/platform/standin"
)

const (
	// daemonProgram is the program that the deploy file builds and runs, relative to the root of the repository.
	daemonProgram = "target/chivemill-edge"
	// metricsPort is the port on which each daemon serves its metrics; the deploy file names it.
	metricsPort = 9464
	// heartbeat is the interval at which replicas write their entries. An entry lapses after three of them.
	heartbeat = 1200 * time.Millisecond
	// graceTime is GraceS of the settings, clientBudget the time that clients wait.
	graceTime    = 6 * time.Second
	clientBudget = 6 * time.Second
	// startTimeout limits the start of a daemon.
	startTimeout = 20 * time.Second
)

// zones are the zones of the deployment; each is in a region of its own.
var zones = []string{"braga-a", "coimbra-a", "lisboa-a"}

// deployment holds the store, the replicas and the daemons of a case.
type deployment struct {
	rec          *record
	dir          string
	network      string
	lock         net.Listener
	store        *standin.Store
	storeServer  *http.Server
	storeAddress string
	ports        [4]int
	replicas     []*replica
	services     []map[string]any
	mu           sync.Mutex
	daemons      []*daemon
	stop         chan struct{}
	beats        sync.WaitGroup
}

// daemon is one process of the program under review.
type daemon struct {
	n      int
	host   string
	cmd    *exec.Cmd
	exited chan struct{}
}

func newDeployment(rec *record) (*deployment, error) {
	d := &deployment{rec: rec, store: standin.NewStore(), stop: make(chan struct{})}
	var err error
	if d.dir, err = os.MkdirTemp("", "chivemill-review"); err != nil {
		return nil, err
	}
	if err = d.reserveNetwork(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = listener.Addr().String()
	d.storeServer = &http.Server{Handler: d.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.storeServer.Serve(listener) }()
	return d, nil
}

// reserveNetwork picks a loopback /24 network that no other case uses and four free ports on it.
func (d *deployment) reserveNetwork() error {
	for _, n := range rand.Perm(200) {
		network := fmt.Sprintf("127.17.%d", n)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.254:%d", network, metricsPort))
		if err != nil {
			continue
		}
		d.network, d.lock = network, lock
		for i := range d.ports {
			l, err := net.Listen("tcp", network+".253:0")
			if err != nil {
				return err
			}
			defer func() { _ = l.Close() }()
			d.ports[i] = l.Addr().(*net.TCPAddr).Port
		}
		return nil
	}
	return errors.New("no free loopback network")
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	close(d.stop)
	d.killDaemons()
	d.beats.Wait()
	for _, r := range d.replicas {
		r.close()
	}
	_ = d.storeServer.Close()
	_ = d.lock.Close()
	_ = os.RemoveAll(d.dir)
}

// killDaemons ends all daemons.
func (d *deployment) killDaemons() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.daemons {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// addService starts replicas of a service in the zones in turn.
func (d *deployment) addService(service string, count int, opts replicaOptions) error {
	d.services = append(d.services, map[string]any{"Name": service, "HealthPath": "/health", "MaxConnections": opts.maxConnections,
		"Protocol": "h1", "Tls": false})
	for k := range count {
		r, err := startReplica(fmt.Sprintf("i-%s-%d", service, k), service, zones[k%len(zones)], opts, d.rec)
		if err != nil {
			return err
		}
		d.replicas = append(d.replicas, r)
		if err := d.store.Put("servers/"+r.id, r.entry()); err != nil {
			return err
		}
		d.beats.Go(func() { d.beat(r) })
	}
	return nil
}

// beat writes the entry of a replica as the replica would, and lets it lapse after three silent intervals.
func (d *deployment) beat(r *replica) {
	silent := 0
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(heartbeat):
		}
		switch {
		case !r.isDown():
			silent = 0
			_ = d.store.Put("servers/"+r.id, r.entry())
		case silent < 3:
			if silent++; silent == 3 {
				_ = d.store.Remove("servers/" + r.id)
			}
		}
	}
}

// writeConfig writes the operator's configuration.
func (d *deployment) writeConfig(version int, routes ...map[string]any) error {
	return d.store.Put("op/config", map[string]any{
		"Version": version, "Routes": routes, "Services": d.services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// callerAddress returns the address at which a daemon takes clients' connections.
func (d *deployment) callerAddress(p *daemon) string { return fmt.Sprintf("%s:%d", p.host, d.ports[0]) }

// startDaemons starts daemons and waits until all are ready.
func (d *deployment) startDaemons(count int) error {
	for n := 1; n <= count; n++ {
		p, err := d.startDaemon(n)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.daemons = append(d.daemons, p)
		d.mu.Unlock()
	}
	for _, p := range d.daemons {
		if err := d.awaitReady(p); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) host(n int) string { return fmt.Sprintf("%s.%d", d.network, n) }

// startDaemon starts the n-th daemon, counted from 1, with the settings of the users' page.
func (d *deployment) startDaemon(n int) (*daemon, error) {
	host, zone := d.host(n), zones[(n-1)%len(zones)]
	var seeds, table []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.host(i), d.ports[2])))
	}
	for _, z := range zones {
		table = append(table, fmt.Sprintf("%s = \"region-%s\"", z, z))
	}
	text := fmt.Sprintf(`NodeName = "edge-%s-%d"
Role = "edge"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "%s"
Zone = "%s"
Region = "region-%s"
InternalPorts = [%d,%d]
Seeds = [%s]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[Zones]
%s
[ListenAddrs]
Frontend = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 5000
AckMs = 6000
CatchUpS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxStretchMs = 15000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 54
RecoveryS = 12
[platform]
Address = "%s"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`, zone, n, host, zone, zone, d.ports[3], d.ports[3], strings.Join(seeds, ","), strings.Join(table, "\n"),
		host, d.ports[0], host, d.ports[1], host, d.ports[2], d.storeAddress)
	file := filepath.Join(d.dir, fmt.Sprintf("settings-%d.toml", n))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p := &daemon{n: n, host: host, cmd: exec.Command(daemonProgram), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "CHIVEMILL_CONFIG="+file)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// awaitReady waits until a daemon answers the platform's question with 200.
func (d *deployment) awaitReady(p *daemon) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/v1/ready", p.host, d.ports[1]))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.rec.add("daemon %d is ready", p.n)
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("daemon %d is not ready", p.n)
}

// terminate sends SIGTERM to a daemon, as the platform does, and SIGKILL after the grace time.
func (d *deployment) terminate(p *daemon, grace time.Duration) error {
	d.rec.add("SIGTERM to daemon %d", p.n)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	go func() {
		select {
		case <-p.exited:
			d.rec.add("daemon %d has ended by itself", p.n)
		case <-time.After(grace):
			d.rec.add("SIGKILL to daemon %d", p.n)
			_ = p.cmd.Process.Kill()
		}
	}()
	return nil
}
