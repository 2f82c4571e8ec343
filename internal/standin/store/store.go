// Package store is a stand-in of the platform: the etcd v3 JSON gateway subset that chivemill uses, the VM list,
// and an endpoint that injects faults.
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

// maxRequest bounds a request body in bytes: a transaction of several 1 MiB values in base64.
const maxRequest = 8 << 20

// FaultsBody is the JSON form of kvtest.Faults.
type FaultsBody struct {
	Down        bool  `json:"down"`
	DelayMS     int64 `json:"delay_ms"`
	LoseAnswers int   `json:"lose_answers"`
	// LoseRequests is LostRequests of kvtest.Faults.
	LoseRequests int `json:"lose_requests"`
	// LateWrites is DelayedTxns of kvtest.Faults.
	LateWrites int `json:"late_writes"`
	// NoProgress is as in kvtest.Faults.
	NoProgress bool `json:"no_progress"`
	// ListLagMS delays each change of the VM list, in milliseconds.
	ListLagMS int64 `json:"list_lag_ms"`
}

type listing struct {
	at  time.Time
	vms []vmlist.VM
}

// Server serves the platform's interfaces. It is safe for concurrent use.
type Server struct {
	store *kvtest.Memory

	mu       sync.Mutex
	listings []listing
	lag      time.Duration
}

// NewServer returns a stand-in over the store.
func NewServer(store *kvtest.Memory) *Server {
	return &Server{store: store}
}

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listings = append(s.listings, listing{time.Now(), vms})
}

func (s *Server) visibleVMs() []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := []vmlist.VM{}
	for _, l := range s.listings {
		if time.Since(l.at) >= s.lag {
			vms = l.vms
		}
	}
	return vms
}

// Handler returns the HTTP handler.
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

func read(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := httpjson.Read(r.Body, maxRequest, in); err != nil {
		answerError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

// fail answers a failed call as the gateway does. A lost answer closes the connection without a response.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, kv.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, kvtest.ErrRejected):
		answerError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
	default:
		answerError(w, http.StatusServiceUnavailable, etcdjson.CodeUnavailable, etcdjson.MessageNoLeader)
	}
}

func answerError(w http.ResponseWriter, status, code int, message string) {
	httpjson.Write(w, status, etcdjson.ErrorBody{Error: message, Code: code, Message: message})
}

func (s *Server) handleSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []vmlist.VM
	if !read(w, r, &vms) {
		return
	}
	s.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var in FaultsBody
	if !read(w, r, &in) {
		return
	}
	s.mu.Lock()
	s.lag = time.Duration(in.ListLagMS) * time.Millisecond
	s.mu.Unlock()
	s.store.SetFaults(kvtest.Faults{
		Unavailable:   in.Down,
		Delay:         time.Duration(in.DelayMS) * time.Millisecond,
		LostResponses: in.LoseAnswers, LostRequests: in.LoseRequests, DelayedTxns: in.LateWrites,
		NoProgress: in.NoProgress,
	})
	w.WriteHeader(http.StatusNoContent)
}

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
	if !read(w, r, &in) {
		return
	}
	out, err := s.rangeItems(r.Context(), in)
	if err != nil {
		fail(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, out)
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.TxnRequest
	if !read(w, r, &in) {
		return
	}
	var txn kv.Txn
	for _, c := range in.Compare {
		if c.Result != "EQUAL" || c.Target != "MOD" {
			answerError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "only EQUAL on MOD is supported")
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
			answerError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "only put and delete are supported")
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
		fail(w, err)
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
	if !read(w, r, &in) {
		return
	}
	id, err := s.store.Grant(r.Context(), time.Duration(in.TTL)*time.Second)
	if err != nil {
		fail(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, etcdjson.GrantResponse{ID: etcdjson.Int64(id), TTL: in.TTL})
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.KeepAliveRequest
	if !read(w, r, &in) {
		return
	}
	alive, err := s.store.KeepAlive(r.Context(), kv.LeaseID(in.ID))
	if err != nil {
		fail(w, err)
		return
	}
	var out etcdjson.KeepAliveResponse
	out.Result.ID = in.ID
	if alive {
		out.Result.TTL = 1
	}
	httpjson.Write(w, http.StatusOK, out)
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.WatchRequest
	if !read(w, r, &in) {
		return
	}
	if in.Create == nil {
		answerError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "create_request is required")
		return
	}
	if s.store.Faults().Unavailable {
		fail(w, kv.ErrUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	var created etcdjson.WatchResponse
	created.Result.Created = true
	created.Result.Header.Revision = etcdjson.Int64(s.store.Revision())
	_ = enc.Encode(created)
	_ = flusher.Flush()
	err := s.store.Watch(r.Context(), string(in.Create.Key), int64(in.Create.StartRevision), func(b kv.WatchBatch) {
		var msg etcdjson.WatchResponse
		msg.Result.Header.Revision = etcdjson.Int64(b.Revision)
		for _, e := range b.Events {
			event := etcdjson.WatchEvent{KV: etcdjson.FromItem(e.Item)}
			if e.Deleted {
				event.Type = "DELETE"
			}
			msg.Result.Events = append(msg.Result.Events, event)
		}
		_ = enc.Encode(msg)
		_ = flusher.Flush()
	})
	if errors.Is(err, kv.ErrCompacted) {
		var msg etcdjson.WatchResponse
		msg.Result.Canceled = true
		msg.Result.CompactRevision = etcdjson.Int64(in.Create.StartRevision + 1)
		_ = enc.Encode(msg)
		return
	}
	panic(http.ErrAbortHandler)
}
