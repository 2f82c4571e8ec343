package reception

import (
	"sync"
	"time"
)

// Connections limits the number of open connections. A new one beyond the limit closes another that is idle or whose request is
// incomplete: the one for which the time in this state times the number of such connections of its address is largest. It is safe for
// concurrent use.
type Connections struct {
	// max is the largest number of open connections.
	max int

	mu    sync.Mutex
	conns map[*Connection]struct{}
}

// NewConnections returns the limit for max connections.
func NewConnections(max int) *Connections {
	return &Connections{max: max, conns: make(map[*Connection]struct{})}
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Connection is an open connection. Its methods are safe for concurrent use.
type Connection struct {
	table   *Connections
	address string
	close   func()

	// The table's lock guards the fields below. waitingSince is when the connection became idle or its request began; isRunning is set
	// while a complete request runs.
	waitingSince time.Time
	isRunning    bool
	isClosed     bool
}

// Add adds a connection. close closes it and is called, without locks held, when the connection has to make room. Add returns nil if
// there is no room, and in closed the connection that made room, if any.
func (c *Connections) Add(address string, now time.Time, close func()) (added, closed *Connection) {
	c.mu.Lock()
	if len(c.conns) >= c.max {
		closed = c.victim(now)
		if closed == nil {
			c.mu.Unlock()
			return nil, nil
		}
		closed.isClosed = true
		delete(c.conns, closed)
	}
	added = &Connection{table: c, address: address, close: close, waitingSince: now}
	c.conns[added] = struct{}{}
	c.mu.Unlock()
	if closed != nil {
		closed.close()
	}
	return added, closed
}

// victim returns the connection to close, or nil if a request runs on each. The caller holds the lock.
func (c *Connections) victim(now time.Time) (victim *Connection) {
	waiting := make(map[string]int)
	for conn := range c.conns {
		if !conn.isRunning {
			waiting[conn.address]++
		}
	}
	var most float64
	for conn := range c.conns {
		if conn.isRunning {
			continue
		}
		if held := now.Sub(conn.waitingSince).Seconds() * float64(waiting[conn.address]); victim == nil || held > most {
			victim, most = conn, held
		}
	}
	return victim
}

// Run marks that a complete request runs on the connection. It returns false if the connection has been closed to make room: the request
// must not run then.
func (c *Connection) Run() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.isRunning = true
	return !c.isClosed
}

// Wait marks that the connection waits for a request or its next part.
func (c *Connection) Wait(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.isRunning, c.waitingSince = false, now
}

// Address returns the address that the connection comes from.
func (c *Connection) Address() string { return c.address }

// Remove removes the connection from the table, once it has been closed. It may be called repeatedly.
func (c *Connection) Remove() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	delete(c.table.conns, c)
}
