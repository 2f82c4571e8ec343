package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/snapshot"
)

// FaultMode names what goes wrong with one sub-request.
type FaultMode string

// Values of FaultMode. With FaultNone the answer is correct, though it may be late.
const (
	FaultNone FaultMode = ""
	// FaultCloseBefore closes the connection without execution, FaultClose after execution.
	FaultCloseBefore FaultMode = "close_before"
	FaultClose       FaultMode = "close"
	// FaultTruncate cuts the body in the middle; FaultNoEnd sends a whole body without its end mark.
	FaultTruncate    FaultMode = "truncate"
	FaultNoEnd       FaultMode = "no_end"
	FaultUndecodable FaultMode = "undecodable"
	// FaultWrongVersion answers with another snapshot, FaultWrongRecord with one record of another snapshot.
	FaultWrongVersion FaultMode = "wrong_version"
	FaultWrongRecord  FaultMode = "wrong_record"
	FaultError        FaultMode = "error"
	FaultRefuse       FaultMode = "refuse"
	// FaultStale answers correctly and answers the next sub-request on the connection with the same bytes, as a
	// duplicated or reordered answer. FaultRefuseStale does so with a refusal, and executes the next one.
	FaultStale       FaultMode = "stale"
	FaultRefuseStale FaultMode = "refuse_stale"
)

// FaultModes returns every mode.
func FaultModes() []FaultMode {
	return []FaultMode{
		FaultNone, FaultCloseBefore, FaultClose, FaultTruncate, FaultNoEnd, FaultUndecodable, FaultWrongVersion,
		FaultWrongRecord, FaultError, FaultRefuse, FaultStale, FaultRefuseStale,
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, a backend.SubResponse, fault Fault) {
	other := snapshot.Version{Index: a.Version.Index - 1, Map: a.Version.Map}
	switch fault.Mode {
	case FaultClose:
		panic(http.ErrAbortHandler)
	case FaultError:
		http.Error(w, "injected", http.StatusInternalServerError)
		return
	case FaultUndecodable:
		httpjson.Write(w, http.StatusOK, "not an answer")
		return
	case FaultNoEnd:
		a.End = ""
	case FaultWrongVersion:
		a.Version = other
	case FaultWrongRecord:
		a.Records = append([]backend.Record{{Key: "item-9999", Version: other}}, a.Records...)
	case FaultTruncate:
		writeHalf(w, a)
		return
	case FaultStale:
		s.logSent(a)
		s.writeTwice(w, http.StatusOK, a)
		return
	default:
		s.logSent(a)
	}
	httpjson.Write(w, http.StatusOK, a)
}

func (s *Server) writeRefusal(w http.ResponseWriter, r *http.Request, reason backend.RefusalReason, fault Fault) {
	if fault.Mode == FaultRefuseStale {
		s.writeTwice(w, http.StatusServiceUnavailable, s.refusal(r, reason))
		return
	}
	s.refuse(w, r, reason)
}

// writeHalf announces the whole body and ends the connection after half of it.
func writeHalf(w http.ResponseWriter, value any) {
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// writeTwice answers this sub-request and the next one on the connection with the same bytes, then closes the
// connection. The next one is executed if it is a non-idempotent request.
func (s *Server) writeTwice(w http.ResponseWriter, status int, value any) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var response bytes.Buffer
	data, _ := json.Marshal(value)
	fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(data), data)
	if _, err := conn.Write(response.Bytes()); err != nil {
		return
	}
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	if next.URL.Path == backend.PathExecute {
		s.logExecution(next)
	}
	_, _ = conn.Write(response.Bytes())
}
