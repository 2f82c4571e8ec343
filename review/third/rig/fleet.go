package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/chivemill/chivemill/platform/standin"
)

const (
	// metricsPort is the port of the deploy file's metrics.
	metricsPort = 9464
	// MemoryMB is the memory of each machine.
	MemoryMB = 284
)

// zones are the zones of the small deployment, each in a region of its own.
var zones = []string{"braga-a", "coimbra-a", "lisboa-a"}

// Fleet is a store and some daemons as processes, each on a loopback address of its own.
type Fleet struct {
	Store   *standin.Store
	pages   *pagedStore
	server  *httptest.Server
	dir     string
	network string
	ports   [4]int
	Daemons []*Daemon
	version int
}

// Daemon is one process of the deploy file's role.
type Daemon struct {
	Name, Host, Zone string
	file             string
	Cmd              *exec.Cmd
	exited           chan struct{}
	// Callers and Ready are the addresses of the settings.
	Callers, Ready string
}

// NewFleet starts a store and prepares addresses. Close must be called.
func NewFleet() (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: standin.NewStore(), dir: dir}
	f.pages = &pagedStore{store: f.Store}
	f.server = httptest.NewServer(f.pages)
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		if err = f.reservePorts(); err == nil {
			return f, nil
		}
	}
	f.Close()
	return nil, err
}

// reservePorts draws ports that are free now on the first three addresses.
func (f *Fleet) reservePorts() error {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for n := 1; n <= len(zones); n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.network, n, metricsPort))
		if err != nil {
			return err
		}
		open = append(open, l)
	}
	for i := range f.ports {
		l, err := net.Listen("tcp", f.network+".1:0")
		if err != nil {
			return err
		}
		open = append(open, l)
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// Host returns the n-th address of the fleet's network, counted from 1. Daemons use the first ones.
func (f *Fleet) Host(n int) string { return fmt.Sprintf("%s.%d", f.network, n) }

// WriteConfig writes the next version of the operator's configuration.
func (f *Fleet) WriteConfig(routes []map[string]any, services []map[string]any) error {
	f.version += 3
	return f.Store.Put("op/config", map[string]any{"Version": f.version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
}

// Start starts the next daemon with the command of the deploy file and waits until it is ready.
func (f *Fleet) Start() (*Daemon, error) {
	n := len(f.Daemons) + 1
	d := &Daemon{Name: fmt.Sprintf("edge-%d", n), Host: f.Host(n), Zone: zones[(n-1)%len(zones)]}
	d.Callers, d.Ready = fmt.Sprintf("%s:%d", d.Host, f.ports[0]), fmt.Sprintf("%s:%d", d.Host, f.ports[1])
	d.file = filepath.Join(f.dir, d.Name+".toml")
	text := fmt.Sprintf(`NodeName = "%s"
Role = "edge"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "%s"
Zone = "%s"
Region = "%s"
InternalPorts = [%d,%d]
Seeds = ["%s:%d"]
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[Zones]
braga-a = "norte"
coimbra-a = "centro"
lisboa-a = "lisboa"
[ListenAddrs]
Frontend = "%s"
Ready = "%s"
Control = "%s:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
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
`, d.Name, d.Host, d.Zone, map[string]string{"braga-a": "norte", "coimbra-a": "centro", "lisboa-a": "lisboa"}[d.Zone], f.ports[3], f.ports[3]+15,
		f.Host(1), f.ports[2], d.Callers, d.Ready, d.Host, f.ports[2], MemoryMB, f.server.Listener.Addr())
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := f.launch(d); err != nil {
		return nil, err
	}
	f.Daemons = append(f.Daemons, d)
	return d, d.AwaitReady(15 * time.Second)
}

func (f *Fleet) launch(d *Daemon) error {
	out, err := os.OpenFile(filepath.Join(f.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	d.Cmd = exec.Command("target/chivemill-edge")
	d.Cmd.Env = append(os.Environ(), "CHIVEMILL_CONFIG="+d.file)
	d.Cmd.Stdout, d.Cmd.Stderr = out, out
	if err := d.Cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.exited = exited
	go func() {
		_ = d.Cmd.Wait()
		close(exited)
	}()
	return nil
}

// Restart starts a daemon that has ended again, with the same settings.
func (f *Fleet) Restart(d *Daemon) error { return f.launch(d) }

// Log returns the path of the daemon's output.
func (f *Fleet) Log(d *Daemon) string { return filepath.Join(f.dir, d.Name+".log") }

// HasExited reports whether the process has ended.
func (d *Daemon) HasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// Exited is closed when the process has ended.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) error { return d.Cmd.Process.Signal(s) }

// AwaitReady waits until the daemon reports ready.
func (d *Daemon) AwaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		resp, err := client.Get("http://" + d.Ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(d.Name + " is not ready")
}

// CloseOnSignal ends all processes and exits with 2 when the program is told to stop.
func (f *Fleet) CloseOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Close()
		os.Exit(2)
	}()
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		_ = d.Cmd.Process.Kill()
		<-d.exited
	}
	if f.server != nil {
		f.server.CloseClientConnections()
		f.server.Close()
	}
	if os.Getenv("REVIEW3_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
