package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Reply is a response of a replica in the form in which it is sent.
type Reply struct {
	Status int
	// Refused is set for a request that the replica has not run.
	Refused bool
	// Signature is empty for a refusal.
	Signature string
	Body      []byte
	ID        string
}

// Sent is what a replica writes for one request: Now at once, and Late when the next request on the connection has arrived.
type Sent struct{ Now, Late []byte }

// ReplicaOptions describe a replica.
type ReplicaOptions struct {
	ID, Service, Zone string
	// Slots is the number of requests that run at the same time, Queue that of those that wait.
	Slots, Queue int
	// MeanWork is the mean time of a run.
	MeanWork time.Duration
	// Records is the number of 16-byte records in a body.
	Records int
	// Status returns the status of the answer to a request that has run. It may be nil, for 200.
	Status func(req *http.Request) int
	// Spoil changes what is written for a reply. It may be nil.
	Spoil func(r *Replica, reply Reply, sound []byte) Sent
	// OnReply is called with each reply that the replica means to give, before it is written. It may be nil.
	OnReply func(r *Replica, reply Reply)
	Record  *Record
}

// Replica is a stand-in of one replica. It serves one request at a time on a connection, names the request's id in each response, refuses
// what is meant for another replica and what its queue has no room for, and stops waiting at the time budget.
type Replica struct {
	ReplicaOptions
	born     int64
	listener net.Listener
	slots    chan struct{}
	waiting  atomic.Int64
	runs     atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// NewReplica starts a replica on a free port of the host.
func NewReplica(host string, opts ReplicaOptions) (*Replica, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Replica{ReplicaOptions: opts, born: time.Now().UnixMilli(), listener: listener, slots: make(chan struct{}, opts.Slots),
		conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// Entry returns the replica's entry in the store.
func (r *Replica) Entry(state string, sequence int) map[string]any {
	return map[string]any{"Service": r.Service, "Address": r.listener.Addr().String(), "Zone": r.Zone, "Version": "v1", "Capacity": r.Slots,
		"State": state, "WarmupLeftMs": 0, "Sequence": sequence, "born": r.born}
}

// Close ends the replica and its connections.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *Replica) accept() {
	for {
		conn, err := r.listener.Accept()
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
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if len(late) > 0 {
			// An extra response arrives at the point where the next one is expected.
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		reply := r.handle(req)
		if r.OnReply != nil {
			r.OnReply(r, reply)
		}
		sent := Sent{Now: r.Bytes(reply)}
		if r.Spoil != nil {
			sent = r.Spoil(r, reply, sent.Now)
		}
		if _, err := conn.Write(sent.Now); err != nil {
			return
		}
		late = sent.Late
	}
}

func (r *Replica) handle(req *http.Request) Reply {
	id := req.Header.Get("Chivemill-Request-Id")
	if req.Header.Get("Chivemill-Target-Instance") != r.ID {
		return Reply{Status: http.StatusMisdirectedRequest, Refused: true, ID: id}
	}
	if !r.acquire(req) {
		r.Record.Add(Event{What: "refused", Request: id, Who: r.ID, Status: http.StatusServiceUnavailable})
		return Reply{Status: http.StatusServiceUnavailable, Refused: true, ID: id}
	}
	defer func() { <-r.slots }()
	r.Record.Add(Event{What: "run", Request: id, Who: r.ID})
	time.Sleep(time.Duration((0.5 + 0.5*rand.ExpFloat64()) * float64(r.MeanWork)))
	reply := Reply{Status: http.StatusOK, ID: id, Signature: fmt.Sprintf("%s.%s.%x", r.Service, r.ID, r.runs.Add(1))}
	if r.Status != nil {
		reply.Status = r.Status(req)
	}
	for range 16 * r.Records {
		reply.Body = append(reply.Body, byte(rand.UintN(256)))
	}
	return reply
}

// acquire waits for a slot until the time budget of the request is used up.
func (r *Replica) acquire(req *http.Request) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	if r.waiting.Add(1) > int64(r.Queue) {
		r.waiting.Add(-1)
		return false
	}
	defer r.waiting.Add(-1)
	var budgetMS int
	if _, err := fmt.Sscan(req.Header.Get("Chivemill-Time-Budget"), &budgetMS); err != nil {
		budgetMS = 1000
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-time.After(time.Duration(budgetMS) * time.Millisecond):
		return false
	}
}

// Head returns the status line and the header of a reply. A refusal says so first; lines about the replica follow, then those about the request.
func (r *Replica) Head(reply Reply) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %03d %s\r\n", reply.Status, http.StatusText(reply.Status))
	if reply.Refused {
		b.WriteString("Chivemill-Not-Executed: 1\r\n")
	}
	fmt.Fprintf(&b, "Date: %s\r\n", time.Now().UTC().Format(http.TimeFormat))
	fmt.Fprintf(&b, "Chivemill-Instance-Id: %s\r\n", r.ID)
	fmt.Fprintf(&b, "Chivemill-Server-Load: %d,%d,%d\r\n", len(r.slots), r.waiting.Load(), r.Slots)
	b.WriteString("Keep-Alive: timeout=20\r\n")
	b.WriteString("Content-Type: application/octet-stream\r\n")
	fmt.Fprintf(&b, "Chivemill-Request-Id: %s\r\n", reply.ID)
	if reply.Signature != "" {
		fmt.Fprintf(&b, "Chivemill-Response-Stamp: %s\r\n", reply.Signature)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(reply.Body))
	return b.Bytes()
}

// Bytes returns the whole reply.
func (r *Replica) Bytes(reply Reply) []byte { return append(r.Head(reply), reply.Body...) }
