package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
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
	serversPrefix  = "servers/"
)

// pagedStore serves the list of replicas in pages of the size and at the speed that the platform's pages state, and leaves everything else to
// the project's stand-in, which knows the keys of that list and their revisions. It is safe for concurrent use.
type pagedStore struct {
	store *standin.Store

	mu sync.Mutex
	// items are the entries under serversPrefix, sorted by key. Each is encoded once, so that a page takes no more than its stated time.
	items []pageItem
	// pages counts the pages that were served, slowest is the longest time of one.
	pages   int
	slowest time.Duration
}

type pageItem struct {
	key     string
	size    int
	encoded []byte
}

// put writes an entry.
func (p *pagedStore) put(key string, value []byte) error {
	if err := p.store.Put(key, []byte{}); err != nil {
		return err
	}
	_, revision := kv.SplitRevision(p.store.Memory.Revision())
	encoded, err := json.Marshal(struct {
		Key               string
		Value             []byte
		Revision, Created int64
	}{key, value, revision, revision})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at, known := slices.BinarySearchFunc(p.items, key, func(i pageItem, k string) int { return strings.Compare(i.key, k) })
	if !known {
		p.items = slices.Insert(p.items, at, pageItem{})
	}
	p.items[at] = pageItem{key, len(value), encoded}
	return nil
}

// page returns the encoded page that begins behind a key.
func (p *pagedStore) page(after string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var parts [][]byte
	size, hasMore := 0, false
	for _, i := range p.items {
		if i.key <= after {
			continue
		}
		if len(parts) > 0 && (len(parts) == maxPageItems || size+i.size > maxPageBytes) {
			hasMore = true
			break
		}
		size += i.size
		parts = append(parts, i.encoded)
	}
	_, asOf := kv.SplitRevision(p.store.Memory.Revision())
	return fmt.Appendf(nil, `{"items":[%s],"HasMore":%v,"AsOf":%d}`, bytes.Join(parts, []byte(",")), hasMore, asOf)
}

// ServeHTTP implements http.Handler.
func (p *pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin, query := time.Now(), r.URL.Query()
	if r.Method != http.MethodGet || r.URL.Path != "/v1/kv-range" || query.Get("PathPrefix") != serversPrefix {
		p.store.ServeHTTP(w, r)
		return
	}
	data := p.page(query.Get("after"))
	time.Sleep(time.Until(begin.Add(answerTime + time.Duration(float64(len(data))/bytesPerSecond*float64(time.Second)))))
	p.mu.Lock()
	p.pages, p.slowest = p.pages+1, max(p.slowest, time.Since(begin))
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	_, _ = w.Write(data)
}

// Pages returns the number of pages of the list of replicas that the store has served, and the longest time that it took for one.
func (f *Fleet) Pages() (pages int, slowest time.Duration) {
	f.pages.mu.Lock()
	defer f.pages.mu.Unlock()
	return f.pages.pages, f.pages.slowest
}

// PutEntry writes a value of another writer under servers/.
func (f *Fleet) PutEntry(id string, value []byte) error { return f.pages.put(serversPrefix+id, value) }

// PutReplica writes the entry of a replica.
func (f *Fleet) PutReplica(r *Replica) error {
	value, err := json.Marshal(r.Entry("ready", 1))
	if err != nil {
		return err
	}
	return f.pages.put(serversPrefix+r.ID, value)
}
