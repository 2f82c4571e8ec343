package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replicaOptions describe the replicas of a service.
type replicaOptions struct {
	capacity, queue, maxConnections int
	// meanWork is the mean time of an execution, bodyBytes the size of a response body.
	meanWork  time.Duration
	bodyBytes int
	// keepAliveSeconds is the idle timeout that responses state.
	keepAliveSeconds int
	// bodyOf returns the body of the response to a request; nil for bodyBytes letters.
	bodyOf func(id string) []byte
}

// crashMark in the query of a request, or the cookie crashCaller, lets each replica that begins to run it crash; the replica is back
// after crashTime.
const (
	crashMark   = "crash"
	crashCaller = "caller=17"
	crashTime   = 3 * time.Second
)

// arrival is a request that has reached a replica.
type arrival struct {
	id, replica string
	at          time.Time
	// run is set if the replica began to run it.
	run bool
}

// replica is a stand-in of one replica. It is safe for concurrent use.
type replica struct {
	id, service, zone, address string
	opts                       replicaOptions
	rec                        *record
	slots                      chan struct{}
	waiting                    atomic.Int64
	answers                    atomic.Int64
	// spoiling is set while the replica spoils some answers.
	spoiling atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	sequence int
	born     int64
	down     bool
	// dark is open while the replica is silent, and closed when it is back.
	dark     chan struct{}
	stopDark func()
	// darkUntil holds the ends of the silences.
	darkUntil []time.Time
	arrivals  []arrival
	crashes   []time.Time
}

func startReplica(id, service, zone string, opts replicaOptions, rec *record) (*replica, error) {
	r := &replica{id: id, service: service, zone: zone, opts: opts, rec: rec, slots: make(chan struct{}, opts.capacity),
		conns: make(map[net.Conn]bool), born: time.Now().UnixMilli()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serve(listener)
	return r, nil
}

// serve starts a server on the listener. The caller holds the lock.
func (r *replica) serve(listener net.Listener) {
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Duration(r.opts.keepAliveSeconds) * time.Second,
		ConnState: func(c net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if state == http.StateClosed {
				delete(r.conns, c)
			} else {
				r.conns[c] = true
			}
		}}
	r.listener = listener
	server := r.server
	go func() { _ = server.Serve(listener) }()
}

func (r *replica) close() {
	r.mu.Lock()
	server, stop := r.server, r.stopDark
	r.mu.Unlock()
	if stop != nil {
		stop()
	}
	_ = server.Close()
}

// entry returns what the replica writes to the store.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Capacity": r.opts.capacity,
		"State": "ready", "WarmupLeftMs": 0, "Sequence": r.sequence, "born": r.born}
}

func (r *replica) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// arrive records a request and returns its index and the channel of the silence that began before it, nil if there is none.
func (r *replica) arrive(id string) (index int, dark chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dark != nil {
		return 0, r.dark
	}
	r.arrivals = append(r.arrivals, arrival{id: id, replica: r.id, at: time.Now()})
	return len(r.arrivals) - 1, nil
}

func (r *replica) markRun(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[index].run = true
}

// takeArrivals returns the requests that have reached the replica.
func (r *replica) takeArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// wasDarkWithin reports whether a silence of the replica ended within the span before a time.
func (r *replica) wasDarkWithin(at time.Time, span time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, end := range r.darkUntil {
		if !end.After(at) && at.Sub(end) < span {
			return true
		}
	}
	return false
}

func (r *replica) takeCrashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashes...)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("Chivemill-Request-Id")
	index, dark := r.arrive(id)
	if dark != nil {
		// The machine is silent: bytes are lost, and the connection does not answer any more.
		<-dark
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Chivemill-Instance-Id", r.id)
	h.Set("Chivemill-Request-Id", id)
	switch {
	case req.Header.Get("Chivemill-Target-Instance") != r.id:
		r.refuse(w, http.StatusMisdirectedRequest)
		return
	case !r.acquire(req.Context()):
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	r.markRun(index)
	r.rec.add("%s runs %s", r.id, id)
	if strings.Contains(req.URL.RawQuery, crashMark) || req.Header.Get("Cookie") == crashCaller {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(r.opts.meanWork))):
	case <-req.Context().Done():
		return
	}
	body := make([]byte, r.opts.bodyBytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	if r.opts.bodyOf != nil {
		body = r.opts.bodyOf(id)
	}
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", fmt.Sprint(len(body)))
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", r.opts.keepAliveSeconds))
	h.Set("Chivemill-Response-Stamp", fmt.Sprintf("%s.%s.%d", r.service, r.id, r.answers.Add(1)))
	h.Set("Chivemill-Server-Load", fmt.Sprintf("%d,%d,%d", len(r.slots), max(0, r.waiting.Load()), r.opts.capacity))
	if r.spoiling.Load() && rand.Float64() < spoiledShare {
		r.spoil(w, id, body)
		return
	}
	_, _ = w.Write(body)
}

// spoiledShare of the answers of a replica are spoiled while it is spoiling.
const spoiledShare = 0.03

// spoil breaks an answer off at a random point of its body and sends a second one on the same connection, which the peer then has
// to close.
func (r *replica) spoil(w http.ResponseWriter, id string, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.rec.add("%s cannot spoil an answer: %v", r.id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	whole := append(head.Bytes(), body...)
	missing := 1 + rand.IntN(len(body))
	r.rec.add("%s breaks off its answer to %s %d bytes before its end and sends a second one", r.id, id, missing)
	if _, err := conn.Write(whole[:len(whole)-missing]); err != nil {
		return
	}
	if _, err := conn.Write(whole); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(clientBudget))
	_, _ = io.Copy(io.Discard, conn)
}

func (r *replica) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Chivemill-Not-Executed", "1")
	w.WriteHeader(status)
}

// acquire waits for a slot. It reports false if the queue is full or the connection has ended.
func (r *replica) acquire(ctx context.Context) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	defer r.waiting.Add(-1)
	if r.waiting.Add(1) > int64(r.opts.queue) {
		return false
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// crash ends the process of the replica: its connections are reset and new ones refused until it starts again.
func (r *replica) crash() {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	r.crashes = append(r.crashes, time.Now())
	server := r.server
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(r.conns)
	r.mu.Unlock()
	r.rec.add("%s has crashed", r.id)
	// The server calls back for each connection, so the lock must not be held.
	_ = server.Close()
	time.AfterFunc(crashTime, r.restart)
}

// restart starts the replica again at its address and under its id.
func (r *replica) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		r.rec.add("%s cannot start again: %v", r.id, err)
		return
	}
	r.down, r.sequence, r.born = false, 0, time.Now().UnixMilli()
	r.serve(listener)
}

// goDark lets the replica fall silent for a time, as one whose machine has lost power: open connections do not answer, and new
// ones hang. It is then started again.
func (r *replica) goDark(length time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil
	}
	r.down, r.dark = true, make(chan struct{})
	// Only the listener is closed: open connections live on and are silent.
	_ = r.listener.Close()
	stop, err := listenSilently(r.address)
	if err != nil {
		return err
	}
	r.stopDark = stop
	r.rec.add("%s goes dark", r.id)
	time.AfterFunc(length, func() {
		r.mu.Lock()
		stop()
		close(r.dark)
		r.dark, r.stopDark = nil, nil
		r.darkUntil = append(r.darkUntil, time.Now())
		clear(r.conns)
		server := r.server
		r.mu.Unlock()
		_ = server.Close()
		r.rec.add("%s starts again", r.id)
		r.restart()
	})
	return nil
}

// listenSilently listens at a loopback address with a queue that is full, so that connections to it hang.
func listenSilently(address string) (stop func(), err error) {
	addr, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	var queued []net.Conn
	stop = func() {
		for _, c := range queued {
			_ = c.Close()
		}
		_ = syscall.Close(fd)
	}
	for _, step := range []func() error{
		func() error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) },
		func() error {
			return syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())})
		},
		func() error { return syscall.Listen(fd, 0) },
	} {
		if err := step(); err != nil {
			stop()
			return nil, err
		}
	}
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 10*time.Millisecond)
		if err != nil {
			break
		}
		queued = append(queued, conn)
	}
	return stop, nil
}
