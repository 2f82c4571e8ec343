// Package crowd opens many connections that send incomplete requests and stay, for tests of what a process receives.
package crowd

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// timeout limits the opening of a connection and the sending of its request.
const timeout = 30 * time.Second

// receiveBufferBytes is the size of a small receive buffer.
const receiveBufferBytes = 64 << 10

// dripInterval is the time between two bytes of a connection that sends slowly.
const dripInterval = time.Second

// pollInterval is the time between two counts of a process's open descriptors.
const pollInterval = 5 * time.Millisecond

// Crowd is a set of connections that stay open after they have sent what they send.
type Crowd struct {
	conns  []net.Conn
	served sync.WaitGroup
}

// Options describes a crowd.
type Options struct {
	Address     string
	Connections int
	// OwnAddresses lets each connection come from an IP address of its own.
	OwnAddresses bool
	// Requests are the requests that the connections send in turn.
	Requests []Request
	// Interval is the time between the openings of two connections.
	Interval time.Duration
	// Drip lets the connections send a byte every second after their request, for as long as they are open.
	Drip bool
	// Unread lets the connections not read what they receive, with a small buffer for it.
	Unread bool
}

// Open opens the connections and lets each send its request. It returns when all have sent their request or can't send more.
func Open(t *testing.T, opts Options) *Crowd {
	t.Helper()
	c := &Crowd{conns: make([]net.Conn, opts.Connections)}
	var sending sync.WaitGroup
	var sent atomic.Int64
	for i := range c.conns {
		if i > 0 && opts.Interval > 0 {
			<-time.After(opts.Interval)
		}
		dialer := net.Dialer{Timeout: timeout}
		if opts.OwnAddresses {
			dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 8, byte(i/250), byte(1+i%250))}
		}
		if opts.Unread {
			dialer.Control = LimitReceiveBuffer
		}
		conn, err := dialer.Dial("tcp", opts.Address)
		if err != nil {
			continue // the process may refuse it
		}
		c.conns[i] = conn
		must.NoError(t, conn.SetWriteDeadline(time.Now().Add(timeout)))
		sending.Go(func() {
			for _, piece := range opts.Requests[i%len(opts.Requests)] {
				if _, err := conn.Write(piece); err != nil {
					return
				}
			}
			sent.Add(1)
			if opts.Drip {
				c.served.Go(func() { drip(conn) })
			}
		})
		if !opts.Unread {
			c.served.Go(func() { _, _ = io.Copy(io.Discard, conn) })
		}
	}
	sending.Wait()
	t.Logf("RESULT %d of %d connections sent all that they send", sent.Load(), opts.Connections)
	return c
}

// drip sends a byte every dripInterval until the connection is closed.
func drip(conn net.Conn) {
	for {
		<-time.After(dripInterval)
		if conn.SetWriteDeadline(time.Now().Add(timeout)) != nil {
			return
		}
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
	}
}

// LimitReceiveBuffer gives a connection a small receive buffer, so that its peer has to wait for it. It is for net.Dialer.Control.
func LimitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, optionErr)
}

// Close closes the connections. It may be called repeatedly.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	c.served.Wait()
}

// OpenDescriptors returns the number of open descriptors of a process, 0 if it has ended.
func OpenDescriptors(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// WatchDescriptors returns a function that ends the watch and returns the largest number of open descriptors seen.
func WatchDescriptors(pid int) (peak func() int) {
	stop, largest := make(chan struct{}), make(chan int, 1)
	go func() {
		most := 0
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			most = max(most, OpenDescriptors(pid))
			select {
			case <-stop:
				largest <- most
				return
			case <-ticker.C:
			}
		}
	}()
	return func() int {
		close(stop)
		return <-largest
	}
}

// idleTime is how long a process must not use any processor time to count as idle.
const idleTime = 300 * time.Millisecond

// WaitIdle waits until a process has handled what it has received: until it uses hardly any processor time, or has ended.
func WaitIdle(t *testing.T, pid int) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	previous, since := processorTicks(pid), time.Now()
	for time.Since(since) < idleTime {
		if time.Now().After(deadline) {
			t.Fatalf("the process is not idle after %v", timeout)
		}
		<-time.After(pollInterval)
		// A tick is 10 ms: what a daemon does in calm stays below maxIdleTicks.
		if now := processorTicks(pid); now > previous+maxIdleTicks {
			previous, since = now, time.Now()
		}
	}
}

// maxIdleTicks is the processor time that an idle process may use in idleTime, in ticks.
const maxIdleTicks = 4

// processorTicks returns the processor time that a process has used, 0 if it has ended.
func processorTicks(pid int) (ticks int64) {
	stat, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(pid), "stat"))
	if err != nil {
		return 0
	}
	// The name of the process is in parentheses; utime and stime are the 12th and 13th fields behind it.
	const utime, stime = 11, 12
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, f := range []string{fields[utime], fields[stime]} {
		n, _ := strconv.ParseInt(f, 10, 64)
		ticks += n
	}
	return ticks
}

// PeakMemory returns the peak of the resident memory of a process in bytes.
func PeakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(pid), "status"))
	must.NoError(t, err)
	_, after, found := strings.Cut(string(status), "VmHWM:")
	must.True(t, found)
	kilobytes, err := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	must.NoError(t, err)
	return kilobytes << 10
}
