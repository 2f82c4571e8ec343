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

// maxBodyBytes limits the body of a sub-request.
const maxBodyBytes = 1 << 20

// connectionCount counts the open connections of entry daemons. It is guarded by Server.mu.
type connectionCount struct{ open, peak int }

// connection records whether an accepted connection has received a request.
type connection struct{ used atomic.Bool }

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// HTTPServer returns an HTTP server for Handler that counts connections and simulates the cost of new ones.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: s.Handler(),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &connection{})
		},
		ConnState: s.trackConnection,
	}
}

// trackConnection counts open connections, except those from ControlHost.
func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err == nil && host == s.cfg.ControlHost {
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

// withNetworkDelay delays a request and its answer by the one-way delay of the entry daemon's data centre each. The
// first request on a connection is also delayed by the setup of the connection.
func (s *Server) withNetworkDelay(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		delay := s.cfg.NetworkDelays[r.Header.Get(backend.HeaderDataCentre)].AsDuration()
		setupDelay := s.connectionSetupDelay(r.Context(), delay)
		if delay+setupDelay == 0 {
			next(w, r)
			return
		}
		// net/http cancels the context of a closed connection only after the complete body has been read.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil || !sleep(r.Context(), delay+setupDelay) {
			// A daemon that shuts down also cancels its GET requests to the load endpoint, which are not sub-requests.
			if r.Method == http.MethodPost {
				s.countAbandoned(StageNetwork)
			}
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next(&delayedWriter{ResponseWriter: w, ctx: r.Context(), delay: delay}, r)
	}
}

// Stage is a step in the handling of a sub-request.
type Stage string

// Values of Stage: delayed by the simulated network, waiting for a slot, and in execution.
const (
	StageNetwork   Stage = "link"
	StageQueue     Stage = "queue"
	StageExecution Stage = "work"
)

// countAbandoned counts a sub-request that was cancelled or timed out in the stage.
func (s *Server) countAbandoned(stage Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandonedCounts[stage]++
}

// connectionSetupDelay returns ConnectionCost plus one round trip for the first request on a connection, otherwise 0.
// The argument is the one-way delay.
func (s *Server) connectionSetupDelay(ctx context.Context, oneWayDelay time.Duration) time.Duration {
	conn, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok || conn.used.Swap(true) {
		return 0
	}
	return s.cfg.ConnectionCost.AsDuration() + 2*oneWayDelay
}

// delayedWriter delays the header of the answer, and with it the whole answer.
type delayedWriter struct {
	http.ResponseWriter
	ctx   context.Context
	delay time.Duration
}

// WriteHeader implements http.ResponseWriter.
func (w *delayedWriter) WriteHeader(status int) {
	sleep(w.ctx, w.delay)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *delayedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// countWorkAfterDrain counts a sub-request that arrived the given time after the start of draining. The caller must
// hold s.mu.
func (s *Server) countWorkAfterDrain(sinceDrain time.Duration) {
	s.lastWorkAfterDrain = sinceDrain
	second := int(sinceDrain / time.Second)
	for len(s.workAfterDrain) <= second {
		s.workAfterDrain = append(s.workAfterDrain, 0)
	}
	s.workAfterDrain[second]++
}

// WriteReport appends the counters as a JSON line to the report file, if one is configured.
func (s *Server) WriteReport() error { return appendJSONLine(s.cfg.Report, s.Counters()) }

// appendJSONLine appends the value as a JSON line to the file. It does nothing if the file name is empty. The line has
// been written when the function returns, so it is not lost if a signal ends the process.
func appendJSONLine(file string, value any) error {
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
