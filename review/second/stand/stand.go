// Package stand holds what the scripts of the second review share: a store, replicas, clients and edge daemons as processes, all on
// loopback addresses, and a record of what was sent, answered and run.
package stand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
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
	// heartbeat is the time between two reports of a replica, as in the example of the settings.
	heartbeat = 1200 * time.Millisecond
	// metricsPort is the fixed port of the daemons' metrics, which shows whether a network is in use.
	metricsPort = 9464
	readyWait   = 15 * time.Second
)

// World is a small deployment: a store, replicas and daemons.
type World struct {
	Store   *standin.Store
	Record  *Record
	network string
	dir     string
	store   *http.Server
	address string
	ports   [4]int
	lock    net.Listener
	daemons []*Daemon

	mu       sync.Mutex
	replicas []*Replica
	closing  chan struct{}
}

// Record is the file in which a script writes what happened. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Line writes a line with the time since the start in seconds.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// NewWorld starts a store on a free port and reserves a loopback network for the daemons.
func NewWorld(record *Record) (*World, error) {
	dir, err := os.MkdirTemp("", "review-second")
	if err != nil {
		return nil, err
	}
	w := &World{Store: standin.NewStore(), Record: record, dir: dir, closing: make(chan struct{})}
	for n := 100; n < 200 && w.lock == nil; n++ {
		network := fmt.Sprintf("127.77.%d", n)
		if lock, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", network, metricsPort)); err == nil {
			w.lock, w.network = lock, network
		}
	}
	if w.lock == nil {
		return nil, fmt.Errorf("no free loopback network")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.store = &http.Server{Handler: w.Store}
	go func() { _ = w.store.Serve(listener) }()
	for i := range w.ports {
		free, err := net.Listen("tcp", w.network+".1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = free.Close() }()
		w.ports[i] = free.Addr().(*net.TCPAddr).Port
	}
	return w, nil
}

// Close ends all processes that the world started and removes its files.
func (w *World) Close() {
	close(w.closing)
	for _, d := range w.daemons {
		d.Kill()
	}
	w.mu.Lock()
	replicas := w.replicas
	w.mu.Unlock()
	for _, r := range replicas {
		r.stop()
	}
	_ = w.store.Close()
	_ = w.lock.Close()
	_ = os.RemoveAll(w.dir)
}

// Config writes a version of the configuration, as the operator does.
func (w *World) Config(version int, routes, services []map[string]any) error {
	w.Record.Line("operator: version %d", version)
	return w.Store.Put("op/config", map[string]any{"Version": version, "Routes": routes, "Services": services, "Limits": map[string]any{
		"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000}})
}

// Daemon is an edge daemon as a process.
type Daemon struct {
	Name, Zone string
	Frontend   string
	ready      string
	settings   string
	log        string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// DaemonOptions are the settings of a daemon that differ between cases.
type DaemonOptions struct {
	Zone, Region string
	Zones        map[string]string
	CPUShare     float64
}

// StartDaemon starts the next daemon with the command of the deploy file and waits until it is ready.
func (w *World) StartDaemon(o DaemonOptions) (*Daemon, error) {
	n := len(w.daemons) + 1
	host := fmt.Sprintf("%s.%d", w.network, n)
	zones := ""
	for zone, region := range o.Zones {
		zones += fmt.Sprintf("%s = %q\n", zone, region)
	}
	text := fmt.Sprintf(`NodeName = "edge-%s-%d"
Role = "edge"
MachineClass = "edge"
Serves = ["edge", "control"]
Ip = %q
Zone = %q
Region = %q
InternalPorts = [%d, %d]
Seeds = ["%s.1:%d", "%s.2:%d", "%s.3:%d"]
Bootstrap = true
HeartbeatMs = 1200
[Zones]
%s[ListenAddrs]
Frontend = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
[Limits]
CpuShare = %v
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
Address = %q
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`, o.Zone, n, host, o.Zone, o.Region, w.ports[3], w.ports[3]+15, w.network, w.ports[2], w.network, w.ports[2], w.network, w.ports[2], zones,
		host, w.ports[0], host, w.ports[1], host, w.ports[2], o.CPUShare, w.address)
	d := &Daemon{Name: fmt.Sprintf("edge-%s-%d", o.Zone, n), Zone: o.Zone, Frontend: fmt.Sprintf("%s:%d", host, w.ports[0]),
		ready: fmt.Sprintf("http://%s:%d/v1/ready", host, w.ports[1]), settings: filepath.Join(w.dir, fmt.Sprintf("settings-%d.toml", n)),
		log: filepath.Join(w.dir, fmt.Sprintf("edge-%d.log", n))}
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	if err := d.Start(); err != nil {
		return nil, err
	}
	w.Record.Line("%s started", d.Name)
	return d, d.WaitReady()
}

// Start starts the process of the daemon.
func (d *Daemon) Start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/chivemill-edge")
	cmd.Env = append(os.Environ(), "CHIVEMILL_CONFIG="+d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = cmd
	return nil
}

// WaitReady waits until the daemon says that it is ready.
func (d *Daemon) WaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(d.ready)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.Name, readyWait)
}

// Kill ends the process of the daemon with SIGKILL and waits for its end.
func (d *Daemon) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.cmd = nil
}

// Freeze stops the process for a time, as a machine that stands still.
func (d *Daemon) Freeze(length time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(length)
	return d.cmd.Process.Signal(syscall.SIGCONT)
}

// Log returns the lines that the daemon has written.
func (d *Daemon) Log() string {
	data, _ := os.ReadFile(d.log)
	return string(data)
}

// KeepOddEntry writes an entry of another writer among those of the replicas, and writes it again each heartbeat until the world ends.
func (w *World) KeepOddEntry(id string, entry map[string]any) error {
	w.Record.Line("another writer: servers/%s = %v", id, entry)
	err := w.Store.Put("servers/"+id, entry)
	go func() {
		for {
			select {
			case <-w.closing:
				return
			case <-time.After(heartbeat):
				_ = w.Store.Put("servers/"+id, entry)
			}
		}
	}()
	return err
}

// NewID returns an id for one client attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// register keeps the entry of a replica in the store until the replica leaves or the world ends.
func (w *World) register(ctx context.Context, r *Replica) {
	for sequence := 1; ; sequence++ {
		r.mu.Lock()
		state := r.state
		if ctx.Err() == nil {
			_ = w.Store.Put("servers/"+r.ID, map[string]any{"Service": r.Service, "Address": r.Address, "Zone": r.Zone, "Version": "v1",
				"Capacity": r.Slots, "State": state, "WarmupLeftMs": 0, "Sequence": sequence, "born": r.born})
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// Quote returns a text for the record in which every byte can be seen.
func Quote(s string) string { return strings.Trim(fmt.Sprintf("%q", s), `"`) }
