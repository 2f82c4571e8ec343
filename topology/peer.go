package topology

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/routing"
)

const (
	// PathPull is where a daemon answers the pulls of its followers.
	PathPull = "/v1/topology"
	// pullWait is how long a daemon holds a pull that has nothing new. A reader that reads the store answers after each
	// read, so the wait ends only while the store does not answer.
	pullWait = 1200 * time.Millisecond
	// leastPullWait is the wait of a pull by a daemon whose list is about to turn stale.
	leastPullWait = 50 * time.Millisecond
	// pullTimeout bounds a pull beyond its wait.
	pullTimeout = 300 * time.Millisecond
	// maxPull bounds the body of an answer in bytes.
	maxPull = 16 << 20
	// maxPullRequest bounds the body of a pull, maxPullHead the head of its answer, in bytes.
	maxPullRequest = 64 << 10
	maxPullHead    = 64 << 10
)

// pullRequest asks for what is newer than the follower's view.
type pullRequest struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	// Scope is the place whose holder is asked, empty for a single look.
	Scope string `json:"scope,omitempty"`
	// Version is the follower's configuration version; Source, Generation and Confirmed name the list that it took last.
	Version    int64  `json:"version"`
	Source     string `json:"source"`
	Generation uint64 `json:"generation"`
	Confirmed  uint64 `json:"confirmed"`
	// Digest is that of the follower's list. A source whose list has the same sends none.
	Digest uint64 `json:"digest,omitempty"`
	WaitMS int64  `json:"wait_ms"`
	// Cores is the follower's processor share, Centres names the data centres that it knows.
	Cores   float64 `json:"cores,omitempty"`
	Centres uint64  `json:"centres,omitempty"`
}

// pullAnswer holds what is newer; an absent part is unchanged.
type pullAnswer struct {
	Config     *routing.Config `json:"config,omitempty"`
	Source     string          `json:"source"`
	Generation uint64          `json:"generation"`
	Confirmed  uint64          `json:"confirmed"`
	// Servers holds the entries that changed since the follower's generation and Removed the IDs of those that went; if
	// Whole is set, Servers is the whole list.
	Servers []balancer.Server `json:"servers,omitempty"`
	Removed []string          `json:"removed,omitempty"`
	Whole   bool              `json:"whole,omitempty"`
	// AgeMS is the time since the store confirmed the list.
	AgeMS int64 `json:"age_ms"`
	// Centres holds the daemons of all data centres if the follower has others.
	Centres map[string]Centre `json:"centres,omitempty"`
}

// peerClient pulls from other daemons. It is safe for concurrent use.
type peerClient struct {
	http *http.Client

	mu sync.Mutex
	// taken names the list in the directory if it came from a daemon; its zero value is a list of another source.
	taken listName
}

type listName struct {
	source                string
	generation, confirmed uint64
}

func newPeerClient() peerClient {
	return peerClient{http: &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: pullTimeout}).DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        10 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxPullHead,
	}}}
}

// forget records that the list in the directory came from elsewhere, so that the next pull brings a whole one.
func (c *peerClient) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken = listName{}
}

func (c *peerClient) last() listName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken
}

// pull asks another daemon and takes what is newer.
func (f *Feed) pull(ctx context.Context, address, scope string, wait time.Duration) error {
	view, _ := f.dir.View()
	taken := f.peers.last()
	request := pullRequest{
		Node: f.self.Node, Address: f.self.Address, Scope: scope, WaitMS: wait.Milliseconds(), Cores: f.self.Cores,
		Centres: view.CentresSum, Digest: view.Digest,
		Source: taken.source, Generation: taken.generation, Confirmed: taken.confirmed,
	}
	if view.Table != nil {
		request.Version = view.Table.Version()
	}
	answer, err := f.peers.ask(ctx, address, request, wait+pullTimeout)
	if err != nil {
		return err
	}
	if answer.Config != nil {
		f.applyConfig(*answer.Config, address)
	}
	if name := (listName{answer.Source, answer.Generation, answer.Confirmed}); answer.Generation > 0 && name != taken {
		servers := answer.Servers
		if !answer.Whole {
			servers = merged(view.Servers, answer.Servers, answer.Removed)
		}
		readAt := time.Now().Add(-time.Duration(answer.AgeMS) * time.Millisecond)
		if !f.takeServers(servers, readAt, address, FromDaemon) {
			// The list in the directory is another one; the next confirmation brings a whole one.
			name.generation = 0
		}
		f.peers.mu.Lock()
		f.peers.taken = name
		f.peers.mu.Unlock()
	}
	f.dir.SetCentres(answer.Centres)
	return nil
}

// merged returns the list with the changed entries and without the removed ones.
func merged(list, changed []balancer.Server, removed []string) []balancer.Server {
	drop := make(map[string]bool, len(changed)+len(removed))
	for _, s := range changed {
		drop[s.ID] = true
	}
	for _, id := range removed {
		drop[id] = true
	}
	out := slices.Clone(changed)
	for _, s := range list {
		if !drop[s.ID] {
			out = append(out, s)
		}
	}
	return out
}

func (c *peerClient) ask(ctx context.Context, address string, request pullRequest, timeout time.Duration) (pullAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer pullAnswer
	body, err := json.Marshal(request)
	if err != nil {
		return answer, eris.Wrap(err, "pull")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathPull, bytes.NewReader(body))
	if err != nil {
		return answer, eris.Wrap(err, "pull")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, eris.Wrap(err, "pull")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPull))
	if err != nil {
		return answer, eris.Wrap(err, "pull")
	}
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("pull from %s: status %d", address, resp.StatusCode)
	}
	return answer, eris.Wrap(json.Unmarshal(data, &answer), "pull")
}

// Handler answers the pulls of other daemons.
func (f *Feed) Handler() http.Handler { return http.HandlerFunc(f.servePull) }

func (f *Feed) servePull(w http.ResponseWriter, r *http.Request) {
	var request pullRequest
	if err := httpjson.Read(r.Body, maxPullRequest, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.stopped.Load() {
		http.Error(w, "this daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	if !f.holds(request.Scope) {
		http.Error(w, "this daemon does not read for "+request.Scope, http.StatusConflict)
		return
	}
	if request.Scope == f.self.DataCentre && request.Node != f.self.Node {
		f.following.add(request.Node, Helper{request.Address, request.Cores}, time.Now())
	}
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, pullWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		_, confirmed := f.dir.Confirmation()
		answer, news := f.answer(request)
		if news || wait <= 0 {
			httpjson.Write(w, http.StatusOK, answer)
			return
		}
		select {
		case <-confirmed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// holds reports whether this daemon holds the place of a scope; anybody may look without one. A daemon that lost its
// claim sends its followers away, since its list may age unnoticed.
func (f *Feed) holds(scope string) bool {
	for _, p := range f.levels {
		if p.scope == scope {
			return p.isHeld()
		}
	}
	return scope == ""
}

// answer returns what the follower lacks, and whether that is anything.
func (f *Feed) answer(request pullRequest) (answer pullAnswer, news bool) {
	generation := request.Generation
	if request.Source != f.source {
		generation = 0
	}
	view, changed, removed, whole := f.dir.Delta(generation)
	whole = whole || generation == 0
	answer = pullAnswer{
		Source: f.source, Generation: view.Generation, Confirmed: view.Confirmed,
	}
	if view.CentresSum != request.Centres {
		answer.Centres = view.Centres
	}
	if view.Table != nil && view.Table.Version() > request.Version {
		config := view.Table.Config()
		answer.Config, news = &config, true
	}
	if view.Generation == 0 {
		return answer, news
	}
	if request.Scope == "" && request.Digest != 0 && time.Since(view.ReadAt) >= staleCentre {
		// A daemon that looks for a fresh list has one as old as this; after a start of all it would get it on each look.
		answer.Generation = 0
		return answer, news
	}
	answer.AgeMS = time.Since(view.ReadAt).Milliseconds()
	if request.Digest != view.Digest && (whole || generation != view.Generation) {
		answer.Servers, answer.Removed, answer.Whole = changed, removed, whole
	}
	// Each change of the list comes with a confirmation. A follower that could not take a list waits for the next one.
	return answer, news || request.Source != f.source || request.Confirmed != view.Confirmed
}
