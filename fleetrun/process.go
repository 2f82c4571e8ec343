package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// process is a started binary.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// processes starts and ends the processes of a run. It is safe for concurrent use.
type processes struct {
	bin, logs string

	mu      sync.Mutex
	running map[string]*process
}

func newProcesses(bin, logs string) *processes {
	return &processes{bin: bin, logs: logs, running: make(map[string]*process)}
}

// start starts a binary with a settings file. Its output is appended to the log of that name.
func (p *processes) start(binary, name, settings string) error {
	log, err := os.OpenFile(filepath.Join(p.logs, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "log")
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(p.bin, binary), "--settings", settings)
	cmd.Stdout, cmd.Stderr = log, log
	// A process group of its own keeps a terminal's interrupt away, so that the run ends the processes in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, name)
	}
	started := &process{name: name, cmd: cmd, done: make(chan struct{})}
	p.running[name] = started
	go func() {
		_ = cmd.Wait()
		close(started.done)
	}()
	return nil
}

func (p *processes) get(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if started, ok := p.running[name]; ok {
		return started, nil
	}
	return nil, eris.Errorf("process %s was not started", name)
}

// signal sends a signal to the process.
func (p *processes) signal(name string, s syscall.Signal) error {
	started, err := p.get(name)
	if err != nil {
		return err
	}
	return eris.Wrap(started.cmd.Process.Signal(s), name)
}

// wait waits for the end of the process and returns its exit status.
func (p *processes) wait(ctx context.Context, name string, timeout time.Duration) (int, error) {
	started, err := p.get(name)
	if err != nil {
		return 0, err
	}
	select {
	case <-started.done:
		return started.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(timeout):
		return 0, eris.Errorf("%s did not end within %s", name, timeout)
	}
}

// killAll ends every process that still runs and waits for their ends.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.running {
		_ = started.cmd.Process.Kill()
	}
	for _, started := range p.running {
		<-started.done
	}
}
