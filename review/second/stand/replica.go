package stand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request that reached a replica.
type Arrival struct {
	ID, Method, Target string
	Body               []byte
	Header             http.Header
	At                 time.Time
}

// Verdict is what a replica does with a request.
type Verdict struct {
	// Status and Header are those of the answer; status 200 stands for a success after the work.
	Status int
	Header map[string]string
	// NotExecuted is set for a request that the replica does not run.
	NotExecuted bool
	// LoseAnswer is set if the replica runs the request and its answer is lost: the connection is reset.
	LoseAnswer bool
	// Work is how long the replica works.
	Work time.Duration
	Body []byte
}

// Replica is a sound replica that serves one request at a time on a connection.
type Replica struct {
	ID, Service, Zone, Address string
	Slots                      int
	// Decide is called for each request that is addressed to the replica.
	Decide func(Arrival) Verdict

	world    *World
	born     int64
	listener net.Listener
	cancel   context.CancelFunc
	slots    chan struct{}
	count    atomic.Int64
	running  atomic.Int64

	mu       sync.Mutex
	state    string
	conns    map[net.Conn]bool
	arrivals []Arrival
	runs     []Arrival
}

// StartReplica starts a replica and registers it in the store.
func (w *World) StartReplica(service, zone string, slots int, decide func(Arrival) Verdict) (*Replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{ID: "i-" + NewID(), Service: service, Zone: zone, Address: listener.Addr().String(), Slots: slots, Decide: decide, world: w,
		born: time.Now().UnixMilli(), listener: listener, cancel: cancel, state: "ready",
		conns: make(map[net.Conn]bool), slots: make(chan struct{}, slots)}
	go r.accept(listener)
	go w.register(ctx, r)
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	return r, nil
}

func (r *Replica) stop() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Cut lets every link to the replica break: open connections are reset and new ones are refused. The replica itself goes on.
func (r *Replica) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Heal ends what Cut began.
func (r *Replica) Heal() error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go r.accept(listener)
	return nil
}

// Drain reports that the replica is draining.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.world.Record.Line("replica %s (%s, %s) reports draining", r.ID, r.Service, r.Zone)
	_ = r.world.Store.Put("servers/"+r.ID, map[string]any{"Service": r.Service, "Address": r.Address, "Zone": r.Zone, "Version": "v1",
		"Capacity": r.Slots, "State": "draining", "WarmupLeftMs": 0, "Sequence": 1_000_000, "born": r.born})
}

// Unlist removes the entry of the replica, which serves on, as a replica does that leaves without reporting it. It returns the time at
// which the store has accepted that.
func (r *Replica) Unlist() (time.Time, error) {
	r.cancel()
	// A report that was on its way is written before the entry is removed.
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.world.Store.Remove("servers/" + r.ID)
	at := time.Now()
	r.world.Record.Line("replica %s (%s, %s) leaves: its entry is removed, and it serves on", r.ID, r.Service, r.Zone)
	return at, err
}

// Crash ends the replica without a word. Its entry lapses after three reports are missing.
func (r *Replica) Crash() {
	r.world.Record.Line("replica %s (%s, %s) crashes", r.ID, r.Service, r.Zone)
	r.stop()
	time.AfterFunc(3*heartbeat, func() { _ = r.world.Store.Remove("servers/" + r.ID) })
}

// Leave removes the entry of the replica and ends it.
func (r *Replica) Leave() {
	r.stop()
	_ = r.world.Store.Remove("servers/" + r.ID)
	r.world.Record.Line("replica %s (%s, %s) has left", r.ID, r.Service, r.Zone)
}

// Runs returns the requests that the replica ran.
func (r *Replica) Runs() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.runs...)
}

// Arrivals returns the requests that reached the replica.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

func (r *Replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
	}
}

func (r *Replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.answer(conn, request, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (r *Replica) answer(conn net.Conn, request *http.Request, body []byte) bool {
	a := Arrival{ID: request.Header.Get("Chivemill-Request-Id"), Method: request.Method, Target: request.RequestURI, Body: body,
		Header: request.Header, At: time.Now()}
	if request.Header.Get("Chivemill-Target-Instance") != r.ID {
		return r.write(conn, a, Verdict{Status: http.StatusMisdirectedRequest, NotExecuted: true})
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	v := r.Decide(a)
	if v.NotExecuted {
		r.world.Record.Line("replica %s (%s) refuses %s with %d", r.ID, r.Service, a.ID, v.Status)
		return r.write(conn, a, v)
	}
	r.slots <- struct{}{}
	r.running.Add(1)
	r.mu.Lock()
	r.runs = append(r.runs, a)
	r.mu.Unlock()
	r.world.Record.Line("replica %s (%s, %s) runs %s: %s %s", r.ID, r.Service, r.Zone, a.ID, a.Method, Quote(a.Target))
	time.Sleep(v.Work)
	r.running.Add(-1)
	<-r.slots
	if v.LoseAnswer {
		r.world.Record.Line("replica %s: the answer to %s is lost", r.ID, a.ID)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	return r.write(conn, a, v)
}

func (r *Replica) write(conn net.Conn, a Arrival, v Verdict) bool {
	if v.Status == 0 {
		v.Status = http.StatusOK
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nChivemill-Request-Id: %s\r\nChivemill-Instance-Id: %s\r\nChivemill-Server-Load: %d,0,%d\r\n", v.Status,
		http.StatusText(v.Status), a.ID, r.ID, r.running.Load(), r.Slots)
	if v.NotExecuted {
		head += "Chivemill-Not-Executed: 1\r\n"
	} else {
		head += "Chivemill-Response-Stamp: " + r.Stamp() + "\r\n"
	}
	for name, value := range v.Header {
		head += name + ": " + value + "\r\n"
	}
	head += "Content-Length: " + strconv.Itoa(len(v.Body)) + "\r\n\r\n"
	_, err := conn.Write(append([]byte(head), v.Body...))
	return err == nil
}

// Stamp returns a signature that no other answer has.
func (r *Replica) Stamp() string { return fmt.Sprintf("%s.%x", r.ID, r.count.Add(1)) }
