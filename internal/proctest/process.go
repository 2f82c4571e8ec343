// Package proctest builds and starts the real binaries on loopback addresses for tests at process level.
package proctest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/chivemill/chivemill/internal/loopback"
)

// Build builds the entry daemon and the stand-ins of the module at root into dir.
func Build(ctx context.Context, root, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir,
		"./cmd/chivemill-entry", "./cmd/standin-store", "./cmd/standin-backend")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "go build: %s", out)
}

// Process is a started binary and its output. It is safe for concurrent use.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
	err error
}

// Write implements io.Writer: it collects the output of the process.
func (p *Process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

// Start writes the settings to the file NAME.yaml in dir and starts a binary with it.
func Start(binary, dir, name string, settings any) (*Process, error) {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return nil, eris.Wrapf(err, "encode settings of %s", name)
	}
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, eris.Wrapf(err, "write settings of %s", name)
	}
	return StartFile(binary, file, name)
}

// StartFile starts a binary with an existing settings file. The name is used in errors.
func StartFile(binary, file, name string) (*Process, error) {
	p := &Process{cmd: exec.Command(binary, "--settings", file), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrap(err, name)
	}
	go func() {
		err := p.cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Paused reports whether every thread of the process is stopped, which happens some time after SIGSTOP was sent.
func (p *Process) Paused() bool {
	statFiles, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(statFiles) == 0 {
		return false
	}
	for _, file := range statFiles {
		data, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		// The state letter follows the command name, which is in parentheses.
		_, state, found := bytes.Cut(data, []byte(") "))
		if !found || state[0] != 'T' {
			return false
		}
	}
	return true
}

// Wait waits for the end of the process and returns its exit status, or an error after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, eris.Errorf("process %d did not exit within %s", p.cmd.Process.Pid, timeout)
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Log returns the standard output and standard error so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// FreeAddresses returns n free TCP addresses on one loopback IP address, which is chosen at random by each call. On
// 127.0.0.1, an outgoing connection or another fleet could take a port before the process that it is intended for.
func FreeAddresses(n int) ([]string, error) {
	ip := loopback.RandomIP()
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			return nil, eris.Wrap(err, "find a free port")
		}
		// The listeners stay open until the function returns, so that all ports differ.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// ErrTimeout means that a condition was not met before the timeout.
var ErrTimeout = errors.New("condition not met before the timeout")

// WaitUntil polls the condition until it is met. After the timeout it returns ErrTimeout.
func WaitUntil(timeout time.Duration, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	deadline := time.After(timeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			return eris.Wrapf(ErrTimeout, "waited %s", timeout)
		}
	}
	return nil
}
