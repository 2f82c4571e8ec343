package delegation

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"
)

// serverFunc is a Server.
type serverFunc func(ctx context.Context, q Query, send func(Part)) error

func (f serverFunc) Answer(ctx context.Context, q Query, send func(Part)) error {
	return f(ctx, q, send)
}

// ask asks a server and returns the parts that came.
func ask(t *testing.T, server Server, takenIn time.Duration) ([]Part, error) {
	h := httptest.NewServer(Handler(server))
	defer h.Close()
	var parts []Part
	err := NewClient().Ask(t.Context(), strings.TrimPrefix(h.URL, "http://"), Query{ID: "q", Shards: []int{0, 1}, Body: []byte("b")},
		takenIn, func(p Part) { parts = append(parts, p) })
	return parts, err
}

// long is far above what a loopback exchange takes on a busy machine.
const long = 20 * time.Second

// TestPartsComeInOrder guards the stream of parts: each comes as it was sent, and the last one ends it.
func TestPartsComeInOrder(t *testing.T) {
	sent := []Part{
		{Shards: []int{0}, Signatures: []string{"a"}, Records: []byte("0123456789abcdef")}, {},
		{Shards: []int{1}, Signatures: []string{"b"}, Last: true},
	}
	parts, err := ask(t, serverFunc(func(_ context.Context, q Query, send func(Part)) error {
		must.Eq(t, "q", q.ID)
		must.Eq(t, "b", string(q.Body))
		for _, p := range sent {
			send(p)
		}
		return nil
	}), long)
	must.NoError(t, err)
	must.Eq(t, sent, parts)
}

// TestRefusalIsNotTaken guards the statement that nothing ran: a helper that refuses sent nothing.
func TestRefusalIsNotTaken(t *testing.T) {
	parts, err := ask(t, serverFunc(func(context.Context, Query, func(Part)) error {
		return eris.Wrap(ErrNotTaken, "version 7 is in force, not 6")
	}), long)
	must.ErrorIs(t, err, ErrNotTaken)
	must.StrContains(t, err.Error(), "version 7")
	must.Nil(t, parts)
}

// TestLostAnswerMayHaveRun guards at most the route's attempts: a connection that ends before the last part says nothing
// of what ran, so the query is not repeated.
func TestLostAnswerMayHaveRun(t *testing.T) {
	parts, err := ask(t, serverFunc(func(_ context.Context, _ Query, send func(Part)) error {
		send(Part{Shards: []int{0}, Signatures: []string{"a"}})
		return nil
	}), long)
	must.Error(t, err)
	must.False(t, errors.Is(err, ErrNotTaken))
	must.Len(t, 1, parts)
}

// TestSilentHelperGetsNoQuery guards the taking back: a daemon that accepts connections and says nothing, as one that is
// frozen, never gets the query, so that this daemon may answer it.
func TestSilentHelperGetsNoQuery(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	got := make(chan []byte, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			got <- []byte(err.Error())
			return
		}
		var all bytes.Buffer
		// The other side closes the connection; what came before is what matters.
		_, _ = all.ReadFrom(conn)
		got <- all.Bytes()
	}()
	err = NewClient().Ask(t.Context(), l.Addr().String(), Query{ID: "secret", Shards: []int{0}}, 50*time.Millisecond, func(Part) {})
	must.ErrorIs(t, err, ErrNotTaken)
	data := <-got
	must.StrContains(t, string(data), "100-continue")
	must.StrNotContains(t, string(data), "secret")
	must.NoError(t, l.Close())
	err = NewClient().Ask(t.Context(), l.Addr().String(), Query{Shards: []int{0}}, long, func(Part) {})
	must.ErrorIs(t, err, ErrNotTaken, must.Sprint("nobody listens"))
}

// TestEndOfTheQueryEndsTheHelpers guards replicas against work that nobody waits for.
func TestEndOfTheQueryEndsTheHelpers(t *testing.T) {
	ended := make(chan struct{})
	h := httptest.NewServer(Handler(serverFunc(func(ctx context.Context, _ Query, send func(Part)) error {
		send(Part{})
		<-ctx.Done()
		close(ended)
		return nil
	})))
	defer h.Close()
	ctx, cancel := context.WithCancel(t.Context())
	err := NewClient().Ask(ctx, strings.TrimPrefix(h.URL, "http://"), Query{Shards: []int{0}}, long, func(Part) { cancel() })
	must.ErrorIs(t, err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(long):
		t.Fatal("the helper goes on")
	}
}
