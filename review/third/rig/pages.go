package rig

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/platform/standin"
)

const (
	// The limits of a page of the store: about 500 items or 1 MB.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// answerTime is how long the store takes for an answer, bytesPerSecond the rate of its link of 1,000 Mbit/s.
	answerTime     = 4 * time.Millisecond
	bytesPerSecond = 125_000_000
)

// pagedStore serves lists in pages of the size that the platform's pages state, at the store's speed, and leaves everything else to the
// project's stand-in.
type pagedStore struct{ store *standin.Store }

type pageItem struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
}

// ServeHTTP implements http.Handler.
func (p pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/v1/kv-range" || p.store.ForcedStatus.Load() != 0 {
		p.store.ServeHTTP(w, r)
		return
	}
	query := r.URL.Query()
	items, revision, err := p.store.Memory.List(r.Context(), query.Get("PathPrefix"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	page := struct {
		Items   []pageItem `json:"items"`
		HasMore bool
		AsOf    int64
	}{Items: []pageItem{}, AsOf: number(revision)}
	size := 0
	for _, i := range items {
		if i.Key <= query.Get("after") {
			continue
		}
		if len(page.Items) > 0 && (len(page.Items) == maxPageItems || size+len(i.Value) > maxPageBytes) {
			page.HasMore = true
			break
		}
		size += len(i.Value)
		page.Items = append(page.Items, pageItem{i.Key, i.Value, number(i.ModRevision), number(i.CreateRevision)})
	}
	data, err := json.Marshal(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	time.Sleep(answerTime + time.Duration(float64(len(data))/bytesPerSecond*float64(time.Second)))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	_, _ = w.Write(data)
}

// number returns the store's own revision of a composed one.
func number(revision int64) int64 {
	_, n := kv.SplitRevision(revision)
	return n
}
