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

// FaultMode is a way in which the handling of a sub-request goes wrong.
type FaultMode string

// Values of FaultMode. With FaultNone the answer is correct; Fault.DelayMS may still delay it.
const (
	FaultNone FaultMode = ""
	// FaultCloseBefore closes the connection before the request is executed, FaultCloseAfter afterwards.
	FaultCloseBefore FaultMode = "close_before"
	FaultCloseAfter  FaultMode = "close"
	// FaultTruncate sends half of the body and closes the connection. FaultNoEnd sends a complete body whose end
	// marker, which shows that it is complete, is empty.
	FaultTruncate FaultMode = "truncate"
	FaultNoEnd    FaultMode = "no_end"
	// FaultUndecodable sends a body of another type than an answer.
	FaultUndecodable FaultMode = "undecodable"
	// FaultWrongVersion answers with the version of another snapshot, FaultWrongRecord adds a record of another
	// snapshot.
	FaultWrongVersion FaultMode = "wrong_version"
	FaultWrongRecord  FaultMode = "wrong_record"
	// FaultError answers with status 500 after execution, FaultRefuse refuses the request without execution.
	FaultError  FaultMode = "error"
	FaultRefuse FaultMode = "refuse"
	// FaultDuplicateAnswer answers correctly, and sends the same bytes again as the answer to the next sub-request on the
	// connection, which simulates a duplicated or reordered answer. FaultDuplicateRefusal does the same with a refusal.
	// In both modes the next sub-request counts as executed if it is non-idempotent.
	FaultDuplicateAnswer  FaultMode = "stale"
	FaultDuplicateRefusal FaultMode = "refuse_stale"
)

// FaultModes returns all modes.
func FaultModes() []FaultMode {
	return []FaultMode{
		FaultNone, FaultCloseBefore, FaultCloseAfter, FaultTruncate, FaultNoEnd, FaultUndecodable, FaultWrongVersion,
		FaultWrongRecord, FaultError, FaultRefuse, FaultDuplicateAnswer, FaultDuplicateRefusal,
	}
}

// writeAnswer writes an answer with the fault applied.
func (s *Server) writeAnswer(w http.ResponseWriter, a backend.SubResponse, fault Fault) {
	otherVersion := snapshot.Version{Index: a.Version.Index - 1, Map: a.Version.Map}
	switch fault.Mode {
	case FaultCloseAfter:
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
		a.Version = otherVersion
	case FaultWrongRecord:
		a.Records = append([]backend.Record{{Key: "item-9999", Version: otherVersion}}, a.Records...)
	case FaultTruncate:
		writeTruncated(w, a)
		return
	case FaultDuplicateAnswer:
		s.recordSent(a)
		s.writeTwice(w, http.StatusOK, a)
		return
	default:
		s.recordSent(a)
	}
	httpjson.Write(w, http.StatusOK, a)
}

// writeRefusalWithFault writes a refusal, twice with FaultDuplicateRefusal.
func (s *Server) writeRefusalWithFault(w http.ResponseWriter, r *http.Request, reason backend.RefusalReason, fault Fault) {
	if fault.Mode == FaultDuplicateRefusal {
		s.writeTwice(w, http.StatusServiceUnavailable, s.newRefusal(r, reason))
		return
	}
	s.writeRefusal(w, r, reason)
}

// writeTruncated states the length of the complete body, writes half of it and closes the connection.
func writeTruncated(w http.ResponseWriter, value any) {
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// writeTwice sends the same bytes as the answer to this sub-request and to the next one on the connection, then closes
// the connection. The next sub-request counts as executed if it is non-idempotent.
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
		s.recordExecution(next)
	}
	_, _ = conn.Write(response.Bytes())
}
