package reception

import (
	"testing"

	"github.com/shoenig/test/must"
)

// opened adds a connection and returns it with the address of the one that made room.
func opened(c *Connections, address string, ms int, close func()) (conn *Connection, closed string) {
	conn, victim := c.Add(address, at(ms), close)
	if victim != nil {
		closed = victim.Address()
	}
	return conn, closed
}

func noClose() {}

// TestLongestWaitingConnectionMakesRoom guards new callers against connections that are idle or never complete their request.
func TestLongestWaitingConnectionMakesRoom(t *testing.T) {
	c := NewConnections(3)
	isClosed := false
	stalled, _ := opened(c, "stalled", 0, func() { isClosed = true })
	used, _ := opened(c, "used", 0, noClose)
	opened(c, "young", 800, noClose)
	must.True(t, used.Run())
	used.Wait(at(900))
	_, closed := opened(c, "new", 1000, noClose)
	must.Eq(t, "stalled", closed)
	must.True(t, isClosed)
	must.False(t, stalled.Run(), must.Sprint("a request on a closed connection must not run"))
	must.Eq(t, 3, c.Open())
}

// TestConnectionsOfOneAddressMakeRoomFirst guards single callers against an address with many connections.
func TestConnectionsOfOneAddressMakeRoomFirst(t *testing.T) {
	c := NewConnections(4)
	opened(c, "single", 0, noClose)
	for range 3 {
		opened(c, "many", 500, noClose)
	}
	_, closed := opened(c, "new", 1000, noClose)
	must.Eq(t, "many", closed)
}

// TestRunningRequestsKeepTheirConnections guards requests that run: a new connection is refused instead.
func TestRunningRequestsKeepTheirConnections(t *testing.T) {
	c := NewConnections(1)
	running, _ := opened(c, "a", 0, func() { t.Fatal("closed") })
	must.True(t, running.Run())
	refused, _ := opened(c, "b", 1000, noClose)
	must.Nil(t, refused)
	running.Remove()
	running.Remove()
	next, closed := opened(c, "b", 1000, noClose)
	must.NotNil(t, next)
	must.Eq(t, "", closed)
}
