// Package store is a stand-in for the platform. It serves the subset of the etcd v3 JSON gateway that chivemill uses,
// the VM list, and an endpoint for fault injection.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/vmlist"
)

// Paths of the stand-in's own control interface.
const (
	PathFaults   = "/standin/faults"
	PathCounters = "/standin/counters"
)

// maxRequestBytes limits a request body. It allows for a transaction with several values of 1 MiB in base64.
const maxRequestBytes = 8 << 20

// FaultsBody is the body of a request to the faults endpoint: the JSON form of kvtest.Faults and the lag of the VM list.
// Down stands for kvtest.Faults.Unavailable, LoseAnswers for LostResponses, LoseRequests for LostRequests and LateWrites
// for DelayedTxns.
type FaultsBody struct {
	Down bool `json:"down"`
	// DelayMS is kvtest.Faults.Delay in milliseconds.
	DelayMS      int64 `json:"delay_ms"`
	LoseAnswers  int   `json:"lose_answers"`
	LoseRequests int   `json:"lose_requests"`
	LateWrites   int   `json:"late_writes"`
	NoProgress   bool  `json:"no_progress"`
	// VMListLagMS is the time in milliseconds until a change of the VM list is visible.
	VMListLagMS int64 `json:"list_lag_ms"`
}

// vmListChange is a VM list and the time at which it was set.
type vmListChange struct {
	at  time.Time
	vms []vmlist.VM
}

// Server serves the platform's interfaces. It is safe for concurrent use.
type Server struct {
	store *kvtest.Memory

	mu            sync.Mutex
	vmListChanges []vmListChange
	vmListLag     time.Duration
}

// NewServer returns a stand-in that keeps the keys in the store and has an empty VM list.
func NewServer(store *kvtest.Memory) *Server {
	return &Server{store: store}
}

// SetVMList replaces the VM list. The change is visible after the lag that FaultsBody.VMListLagMS sets.
func (s *Server) SetVMList(vms []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmListChanges = append(s.vmListChanges, vmListChange{time.Now(), vms})
}

// visibleVMs returns the latest VM list that is older than the lag, or an empty list.
func (s *Server) visibleVMs() []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := []vmlist.VM{}
	for _, change := range s.vmListChanges {
		if time.Since(change.at) >= s.vmListLag {
			vms = change.vms
		}
	}
	return vms
}

// Handler returns the HTTP handler of the platform's interfaces and the control interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+etcdjson.PathRange, s.handleRange)
	mux.HandleFunc("POST "+etcdjson.PathTxn, s.handleTxn)
	mux.HandleFunc("POST "+etcdjson.PathGrant, s.handleGrant)
	mux.HandleFunc("POST "+etcdjson.PathKeepAlive, s.handleKeepAlive)
	mux.HandleFunc("POST "+etcdjson.PathWatch, s.handleWatch)
	mux.HandleFunc("GET "+vmlist.Path, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.visibleVMs())
	})
	mux.HandleFunc("PUT "+vmlist.Path, s.handleSetVMs)
	mux.HandleFunc("PUT "+PathFaults, s.handleFaults)
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.store.Counters())
	})
	return mux
}

// readRequest decodes the request body into in. If that fails, it writes an error and returns false.
func readRequest(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := httpjson.Read(r.Body, maxRequestBytes, in); err != nil {
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

// writeFailure answers a failed call as the etcd gateway does. A simulated lost answer closes the connection without a
// response.
func writeFailure(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, kv.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, kvtest.ErrRejected):
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
	default:
		writeError(w, http.StatusServiceUnavailable, etcdjson.CodeUnavailable, etcdjson.MessageNoLeader)
	}
}

// writeError writes an error in the format of the etcd gateway.
func writeError(w http.ResponseWriter, status, code int, message string) {
	httpjson.Write(w, status, etcdjson.ErrorBody{Error: message, Code: code, Message: message})
}

func (s *Server) handleSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []vmlist.VM
	if !readRequest(w, r, &vms) {
		return
	}
	s.SetVMList(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var in FaultsBody
	if !readRequest(w, r, &in) {
		return
	}
	s.mu.Lock()
	s.vmListLag = time.Duration(in.VMListLagMS) * time.Millisecond
	s.mu.Unlock()
	s.store.SetFaults(kvtest.Faults{
		Unavailable:   in.Down,
		Delay:         time.Duration(in.DelayMS) * time.Millisecond,
		LostResponses: in.LoseAnswers, LostRequests: in.LoseRequests, DelayedTxns: in.LateWrites,
		NoProgress: in.NoProgress,
	})
	w.WriteHeader(http.StatusNoContent)
}

// rangeItems reads the key, or all keys with the prefix Key if the request has a range end.
func (s *Server) rangeItems(ctx context.Context, in etcdjson.RangeRequest) (etcdjson.RangeResponse, error) {
	var out etcdjson.RangeResponse
	if len(in.RangeEnd) == 0 {
		item, found, err := s.store.Get(ctx, string(in.Key))
		if found {
			out.KVs = append(out.KVs, etcdjson.FromItem(item))
		}
		return out, err
	}
	items, revision, err := s.store.List(ctx, string(in.Key))
	out.Header.Revision = etcdjson.Int64(revision)
	for _, i := range items {
		if i.ModRevision >= int64(in.MinModRevision) {
			out.KVs = append(out.KVs, etcdjson.FromItem(i))
		}
	}
	return out, err
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.RangeRequest
	if !readRequest(w, r, &in) {
		return
	}
	out, err := s.rangeItems(r.Context(), in)
	if err != nil {
		writeFailure(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, out)
}

// handleTxn supports comparisons of the modification revision, puts and deletes on success, and reads on failure.
func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.TxnRequest
	if !readRequest(w, r, &in) {
		return
	}
	var txn kv.Txn
	for _, c := range in.Compare {
		if c.Result != "EQUAL" || c.Target != "MOD" {
			writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "only EQUAL on MOD is supported")
			return
		}
		txn.If = append(txn.If, kv.Compare{Key: string(c.Key), ModRevision: int64(c.ModRevision)})
	}
	for _, op := range in.Success {
		switch {
		case op.Put != nil:
			txn.Puts = append(txn.Puts, kv.Put{Key: string(op.Put.Key), Value: op.Put.Value, Lease: kv.LeaseID(op.Put.Lease)})
		case op.Delete != nil:
			txn.Deletes = append(txn.Deletes, string(op.Delete.Key))
		default:
			writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "only put and delete are supported")
			return
		}
	}
	for _, op := range in.Failure {
		if op.Range != nil {
			txn.Else = append(txn.Else, string(op.Range.Key))
		}
	}
	result, err := s.store.Txn(r.Context(), txn)
	if err != nil {
		writeFailure(w, err)
		return
	}
	out := etcdjson.TxnResponse{Succeeded: result.Succeeded, Header: etcdjson.Header{Revision: etcdjson.Int64(result.Revision)}}
	for _, i := range result.Items {
		out.Responses = append(out.Responses, etcdjson.ResponseOp{
			Range: &etcdjson.RangeResponse{KVs: []etcdjson.KeyValue{etcdjson.FromItem(i)}},
		})
	}
	httpjson.Write(w, http.StatusOK, out)
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.GrantRequest
	if !readRequest(w, r, &in) {
		return
	}
	id, err := s.store.Grant(r.Context(), time.Duration(in.TTL)*time.Second)
	if err != nil {
		writeFailure(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, etcdjson.GrantResponse{ID: etcdjson.Int64(id), TTL: in.TTL})
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.KeepAliveRequest
	if !readRequest(w, r, &in) {
		return
	}
	alive, err := s.store.KeepAlive(r.Context(), kv.LeaseID(in.ID))
	if err != nil {
		writeFailure(w, err)
		return
	}
	var out etcdjson.KeepAliveResponse
	out.Result.ID = in.ID
	if alive {
		out.Result.TTL = 1
	}
	httpjson.Write(w, http.StatusOK, out)
}

// handleWatch streams the changes from the start revision on. When the watch ends, it closes the connection, except
// after the start revision was compacted, which it reports in the stream.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.WatchRequest
	if !readRequest(w, r, &in) {
		return
	}
	if in.Create == nil {
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "create_request is required")
		return
	}
	if s.store.Faults().Unavailable {
		writeFailure(w, kv.ErrUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	var created etcdjson.WatchResponse
	created.Result.Created = true
	created.Result.Header.Revision = etcdjson.Int64(s.store.Revision())
	_ = encoder.Encode(created)
	_ = flusher.Flush()
	err := s.store.Watch(r.Context(), string(in.Create.Key), int64(in.Create.StartRevision), func(batch kv.WatchBatch) {
		var msg etcdjson.WatchResponse
		msg.Result.Header.Revision = etcdjson.Int64(batch.Revision)
		for _, e := range batch.Events {
			event := etcdjson.WatchEvent{KV: etcdjson.FromItem(e.Item)}
			if e.Deleted {
				event.Type = "DELETE"
			}
			msg.Result.Events = append(msg.Result.Events, event)
		}
		_ = encoder.Encode(msg)
		_ = flusher.Flush()
	})
	if errors.Is(err, kv.ErrCompacted) {
		var msg etcdjson.WatchResponse
		msg.Result.Canceled = true
		msg.Result.CompactRevision = etcdjson.Int64(in.Create.StartRevision + 1)
		_ = encoder.Encode(msg)
		return
	}
	panic(http.ErrAbortHandler)
}
