package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/backend"
)

// maxBody bounds the body of a sub-request in bytes.
const maxBody = 1 << 20

// connectionCount counts the open connections of entry daemons. The server's lock guards it.
type connectionCount struct{ open, peak int }

// connection is the state of one accepted connection.
type connection struct{ used atomic.Bool }

type connectionKey struct{}

// HTTPServer returns a server of the replica's handler that counts connections and makes new ones cost time.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: s.Handler(),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &connection{})
		},
		ConnState: s.connectionChanged,
	}
}

func (s *Server) connectionChanged(conn net.Conn, state http.ConnState) {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err == nil && host == s.set.ControlHost {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections.open++
		s.connections.peak = max(s.connections.peak, s.connections.open)
	case http.StateClosed, http.StateHijacked:
		s.connections.open--
	}
}

// overLink delays a request and its answer by the one-way delay from the entry daemon's data centre. The first
// request of a connection also waits for the connection's set-up.
func (s *Server) overLink(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		delay := s.set.Delays[r.Header.Get(backend.HeaderDataCentre)].D()
		setUp := s.setUpTime(r.Context(), delay)
		if delay+setUp == 0 {
			next(w, r)
			return
		}
		// The server notices that the caller is gone only after the whole body was read.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err != nil || !wait(r.Context(), delay+setUp) {
			// An ending daemon also abandons its reading of the load endpoint, which is no sub-request.
			if r.Method == http.MethodPost {
				s.abandon(StageLink)
			}
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next(&linkWriter{ResponseWriter: w, ctx: r.Context(), delay: delay}, r)
	}
}

// Stage is how far a sub-request came.
type Stage string

// Values of Stage: on its way in, waiting for a slot, and being executed.
const (
	StageLink  Stage = "link"
	StageQueue Stage = "queue"
	StageWork  Stage = "work"
)

func (s *Server) abandon(stage Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned[stage]++
}

// setUpTime is the cost of a new connection and its round trip, or 0 for a connection that was used before.
func (s *Server) setUpTime(ctx context.Context, delay time.Duration) time.Duration {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok || c.used.Swap(true) {
		return 0
	}
	return s.set.ConnectionCost.D() + 2*delay
}

// linkWriter delays the start of the answer.
type linkWriter struct {
	http.ResponseWriter
	ctx   context.Context
	delay time.Duration
}

// WriteHeader implements http.ResponseWriter.
func (w *linkWriter) WriteHeader(status int) {
	wait(w.ctx, w.delay)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *linkWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// countLateWork counts a sub-request that arrived the given time after the start of draining. The caller holds the
// lock.
func (s *Server) countLateWork(after time.Duration) {
	s.lastWork = after
	second := int(after / time.Second)
	for len(s.workAfterDrain) <= second {
		s.workAfterDrain = append(s.workAfterDrain, 0)
	}
	s.workAfterDrain[second]++
}

// WriteReport appends the counters to the report file, if one is set.
func (s *Server) WriteReport() error { return appendLine(s.set.Report, s.Counters()) }

// appendLine appends the value as a JSON line; it does nothing without a file. The line is in the file when it
// returns, so that it survives the end of the process by a signal.
func appendLine(file string, value any) error {
	if file == "" {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(append(data, '\n')); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
