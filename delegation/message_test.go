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

// serverFunc implements Server by a function.
type serverFunc func(ctx context.Context, q Query, send func(PartialAnswer)) error

func (f serverFunc) Answer(ctx context.Context, q Query, send func(PartialAnswer)) error {
	return f(ctx, q, send)
}

// delegate delegates a query to a server over HTTP and returns the received parts.
func delegate(t *testing.T, server Server, acceptTimeout time.Duration) ([]PartialAnswer, error) {
	h := httptest.NewServer(Handler(server))
	defer h.Close()
	var parts []PartialAnswer
	err := NewClient(testMemory).Delegate(t.Context(), strings.TrimPrefix(h.URL, "http://"), Query{ID: "q", Shards: []int{0, 1}, Body: []byte("b")},
		acceptTimeout, func(p PartialAnswer) { parts = append(parts, p) })
	return parts, err
}

// testTimeout is far longer than an exchange over loopback on a busy machine.
const testTimeout = 20 * time.Second

// TestPartsArriveInOrder guards against parts that are lost, changed or reordered.
func TestPartsArriveInOrder(t *testing.T) {
	sent := []PartialAnswer{
		{Shards: []int{0}, Signatures: []string{"a"}, Records: []byte("0123456789abcdef")}, {},
		{Shards: []int{1}, Signatures: []string{"b"}, Last: true},
	}
	parts, err := delegate(t, serverFunc(func(_ context.Context, q Query, send func(PartialAnswer)) error {
		must.Eq(t, "q", q.ID)
		must.Eq(t, "b", string(q.Body))
		for _, p := range sent {
			send(p)
		}
		return nil
	}), testTimeout)
	must.NoError(t, err)
	must.Eq(t, sent, parts)
}

// TestRefusalReturnsErrNotAccepted guards against a refusal that is not reported as ErrNotAccepted, although the helper
// sent nothing to replicas.
func TestRefusalReturnsErrNotAccepted(t *testing.T) {
	parts, err := delegate(t, serverFunc(func(context.Context, Query, func(PartialAnswer)) error {
		return eris.Wrap(ErrNotAccepted, "version 7 is in force, not 6")
	}), testTimeout)
	must.ErrorIs(t, err, ErrNotAccepted)
	must.StrContains(t, err.Error(), "version 7")
	must.Nil(t, parts)
}

// TestInterruptedAnswerIsNotErrNotAccepted guards against more attempts than the route allows: if the connection ends
// before the last part, replicas may have executed the query, so it must not be repeated.
func TestInterruptedAnswerIsNotErrNotAccepted(t *testing.T) {
	parts, err := delegate(t, serverFunc(func(_ context.Context, _ Query, send func(PartialAnswer)) error {
		send(PartialAnswer{Shards: []int{0}, Signatures: []string{"a"}})
		return nil
	}), testTimeout)
	must.Error(t, err)
	must.False(t, errors.Is(err, ErrNotAccepted))
	must.Len(t, 1, parts)
}

// TestUnresponsiveHelperReceivesNoQuery guards against a query that is executed twice: a helper that accepts connections but
// doesn't respond, like a frozen process, never receives the query, so the delegating daemon may answer it itself.
func TestUnresponsiveHelperReceivesNoQuery(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	receivedBytes := make(chan []byte, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			receivedBytes <- []byte(err.Error())
			return
		}
		var received bytes.Buffer
		// The error is ignored: the client closes the connection, and only the data before that matters.
		_, _ = received.ReadFrom(conn)
		receivedBytes <- received.Bytes()
	}()
	err = NewClient(testMemory).Delegate(t.Context(), l.Addr().String(), Query{ID: "secret", Shards: []int{0}}, 50*time.Millisecond,
		func(PartialAnswer) {})
	must.ErrorIs(t, err, ErrNotAccepted)
	data := <-receivedBytes
	must.StrContains(t, string(data), "100-continue")
	must.StrNotContains(t, string(data), "secret")
	must.NoError(t, l.Close())
	err = NewClient(testMemory).Delegate(t.Context(), l.Addr().String(), Query{Shards: []int{0}}, testTimeout, func(PartialAnswer) {})
	must.ErrorIs(t, err, ErrNotAccepted, must.Sprint("connection refused"))
}

// TestCancellationReachesHelper guards against a helper that continues a query after the delegating daemon canceled it.
func TestCancellationReachesHelper(t *testing.T) {
	ended := make(chan struct{})
	h := httptest.NewServer(Handler(serverFunc(func(ctx context.Context, _ Query, send func(PartialAnswer)) error {
		send(PartialAnswer{})
		<-ctx.Done()
		close(ended)
		return nil
	})))
	defer h.Close()
	ctx, cancel := context.WithCancel(t.Context())
	err := NewClient(testMemory).Delegate(ctx, strings.TrimPrefix(h.URL, "http://"), Query{Shards: []int{0}}, testTimeout,
		func(PartialAnswer) { cancel() })
	must.ErrorIs(t, err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the context of the helper was not canceled")
	}
}
