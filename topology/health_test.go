package topology

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
)

// failingConn is a socket whose reads fail. It counts the open sockets.
type failingConn struct {
	net.PacketConn
	open *atomic.Int64
}

func (failingConn) ReadFrom([]byte) (int, net.Addr, error) { return 0, nil, errRefused }

func (c failingConn) Close() error {
	c.open.Add(-1)
	return nil
}

// TestFailedHealthSocketIsClosed guards against a socket, and the goroutine that sends on it, that remain after each read
// error.
func TestFailedHealthSocketIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newReaderFeed(t)
		var opened, open atomic.Int64
		feed.listenPacket = func(string, string) (net.PacketConn, error) {
			opened.Add(1)
			open.Add(1)
			return failingConn{open: &open}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		recorder := healthRecorder{balancer.New(1)}
		go feed.ShareHealth(ctx, recorder, recorder)
		testseed.Sleep(5*socketRetryPause + time.Millisecond)
		must.Greater(t, 3, opened.Load())
		must.Eq(t, 0, open.Load())
	})
}
