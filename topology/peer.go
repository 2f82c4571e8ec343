package topology

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/routing"
)

const (
	// PathPull is the path at which Handler serves the pulls of followers.
	PathPull = "/v1/topology"
	// maxPullWait is how long a daemon holds a pull (long poll) without an update. A reader with an available store responds
	// after each read, so a pull only takes that long while the store is unavailable.
	maxPullWait = 1200 * time.Millisecond
	// minPullWait is the wait of a pull if the follower's list is stale or about to become stale.
	minPullWait = 50 * time.Millisecond
	// pullTimeout bounds the duration of a pull in addition to its wait.
	pullTimeout = 300 * time.Millisecond
	// maxPullResponseBytes bounds the body of a response in bytes.
	maxPullResponseBytes = 16 << 20
	// maxPullRequestBytes bounds the body of a pull, maxPullResponseHeaderBytes the header of its response, in bytes.
	maxPullRequestBytes        = 64 << 10
	maxPullResponseHeaderBytes = 64 << 10
)

// pullRequest requests the changes since the follower's view.
type pullRequest struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	// Scope is the scope of the role that the receiver is expected to hold, empty for a pull from any daemon.
	Scope string `json:"scope,omitempty"`
	// Version is the version of the follower's configuration. Source, Generation and Confirmed identify the list that the
	// follower pulled last.
	Version    int64  `json:"version"`
	Source     string `json:"source"`
	Generation uint64 `json:"generation"`
	Confirmed  uint64 `json:"confirmed"`
	// Digest is the digest of the follower's list. A source with the same digest omits the list.
	Digest uint64 `json:"digest,omitempty"`
	// WaitMS is how long the source may hold the request without an update, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
	// Cores is the follower's CPU share, Centres the View.DataCentresHash of its view.
	Cores   float64 `json:"cores,omitempty"`
	Centres uint64  `json:"centres,omitempty"`
	// Evacuations is the revision of the follower's evacuations.
	Evacuations int64 `json:"evacuations,omitempty"`
	// NoticeDigest is the digest of the follower's notices of requests that crash replicas. It travels in headerNoticeDigest, since
	// daemons of earlier versions reject a pull with a field that they do not know.
	NoticeDigest uint64 `json:"-"`
	// AcceptsStale requests a list even if it is stale, as long as it differs from the follower's. It travels in paramAcceptsStale.
	AcceptsStale bool `json:"-"`
}

// paramAcceptsStale is the query parameter for pullRequest.AcceptsStale.
const paramAcceptsStale = "stale"

// pullResponse is the response to a pull. Absent fields are unchanged.
type pullResponse struct {
	Config     *routing.Config `json:"config,omitempty"`
	Source     string          `json:"source"`
	Generation uint64          `json:"generation"`
	Confirmed  uint64          `json:"confirmed"`
	// Servers holds the entries added or changed since the follower's generation, Removed the IDs of the removed ones. If
	// Whole is set, Servers is the complete list.
	Servers []balancer.Server `json:"servers,omitempty"`
	Removed []string          `json:"removed,omitempty"`
	Whole   bool              `json:"whole,omitempty"`
	// AgeMS is the time since the list was read from the store, in milliseconds, rounded up. HeldMS is how long the source
	// held the pull, rounded down; daemons of earlier versions do not state it.
	AgeMS  int64  `json:"age_ms"`
	HeldMS *int64 `json:"held_ms,omitempty"`
	// Revision is the store's revision at that read, 0 if unknown. StoreFailedMS is the time since a call of the source to the store
	// failed last, in milliseconds, if that is recent.
	Revision      int64  `json:"revision,omitempty"`
	StoreFailedMS *int64 `json:"store_failed_ms,omitempty"`
	// StoreSpan is the time for which the store has answered calls that were at most outageThreshold apart, as far as the source knows.
	StoreSpan *storeSpan `json:"store_span,omitempty"`
	// Era is the era of the store that the list reflects; daemons of earlier versions do not state it. RestoredMS is the time
	// since the store came back from an older copy, in milliseconds, if that is recent.
	Era        *int64 `json:"era,omitempty"`
	RestoredMS *int64 `json:"restored_ms,omitempty"`
	// Left holds the last entries of replicas that have left, beside a complete list soon after the store came back: the store
	// may list them again.
	Left []balancer.Server `json:"left,omitempty"`
	// Evacuations are those of a higher revision than the follower's.
	Evacuations *Evacuations `json:"evacuations,omitempty"`
	// Centres describes the daemons of all data centres if the follower's hash differs.
	Centres map[string]DataCentre `json:"centres,omitempty"`
	// NoticeDigest is the digest of the source's notices, and Notices holds them if the follower's digest differs.
	NoticeDigest uint64              `json:"notice_digest,omitempty"`
	Notices      []quarantine.Notice `json:"notices,omitempty"`
}

// storeSpan is a time up to the present, by the time since its begin and its end in milliseconds.
type storeSpan struct {
	FromMS int64 `json:"from_ms"`
	ToMS   int64 `json:"to_ms"`
}

// peerClient pulls from other daemons. It is safe for concurrent use.
type peerClient struct {
	http *http.Client

	mu sync.Mutex
	// lastPulled identifies the list in the directory if it was pulled from a daemon, and is zero otherwise.
	lastPulled listVersion
}

// listVersion identifies a list among those of all daemons.
type listVersion struct {
	source                    string
	generation, confirmations uint64
}

func newPeerClient() peerClient {
	return peerClient{http: &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: pullTimeout}).DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        10 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxPullResponseHeaderBytes,
	}}}
}

// reset records that the list in the directory was not pulled, so that the next pull requests a complete list.
func (c *peerClient) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPulled = listVersion{}
}

// currentList returns the identity of the list in the directory, zero if it was not pulled.
func (c *peerClient) currentList() listVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastPulled
}

// pull requests updates from another daemon and applies them.
func (f *Feed) pull(ctx context.Context, address, scope string, wait time.Duration) error {
	p := f.newPull(address, scope, wait)
	if err := p.send(ctx, &f.peers); err != nil {
		return err
	}
	f.applyPull(ctx, p)
	return nil
}

// pull is a pull from another daemon, with the state of this daemon when it was sent.
type pull struct {
	address    string
	request    pullRequest
	wait       time.Duration
	view       View
	lastPulled listVersion
	notices    noticeSet
	begin      time.Time
	response   pullResponse
}

// newPull returns a pull that requests what this daemon lacks.
func (f *Feed) newPull(address, scope string, wait time.Duration) *pull {
	view, _ := f.dir.View()
	p := &pull{address: address, wait: wait, view: view, lastPulled: f.peers.currentList(), notices: f.currentNotices()}
	p.request = pullRequest{
		Node: f.self.Node, Address: f.self.Address, Scope: scope, WaitMS: wait.Milliseconds(), Cores: f.self.Cores,
		Centres: view.DataCentresHash, Digest: view.Digest, Evacuations: view.Evacuations.Revision,
		Source: p.lastPulled.source, Generation: p.lastPulled.generation, Confirmed: p.lastPulled.confirmations,
		NoticeDigest: p.notices.digest,
	}
	if view.Table != nil {
		p.request.Version = view.Table.Version()
	}
	return p
}

// send sends the pull and waits for the response.
func (p *pull) send(ctx context.Context, client *peerClient) (err error) {
	p.begin = time.Now()
	p.response, err = client.sendPull(ctx, p.address, p.request, p.wait+pullTimeout)
	return err
}

// applyPull applies the response to a pull.
func (f *Feed) applyPull(ctx context.Context, p *pull) {
	response := &p.response
	if response.Config != nil {
		f.applyConfig(*response.Config, configSource{address: p.address, call: "pull", begin: p.begin})
	}
	if response.Evacuations != nil {
		f.applyEvacuations(*response.Evacuations, false, p.address)
	}
	f.applyPulledList(ctx, p)
	f.dir.SetDataCentres(response.Centres)
	f.addNotices(response.Notices)
	if response.NoticeDigest != p.notices.digest {
		f.sendNotices(ctx, p.address, p.notices.missingFrom(response.Notices))
	}
}

// applyPulledList applies the list in the response to a pull, and what it tells of the store.
func (f *Feed) applyPulledList(ctx context.Context, p *pull) {
	response := &p.response
	// The response was under way for an unknown part of the time since the pull, so what it tells is taken to be as early as possible.
	respondedAt := p.begin.Add(response.held())
	if ms := response.StoreFailedMS; ms != nil && *ms >= 0 {
		f.dir.RecordStoreFailure(beforeMS(respondedAt, *ms))
	}
	if s := response.StoreSpan; s != nil && s.FromMS >= s.ToMS && s.ToMS >= 0 {
		f.dir.RecordStoreSpan(beforeMS(respondedAt, s.FromMS), beforeMS(respondedAt, s.ToMS))
	}
	if response.Generation == 0 {
		return
	}
	readAt := response.readAt(p.begin)
	if time.Duration(response.AgeMS)*time.Millisecond < staleReadPenalty {
		// The time of a list from a stale read is not that of an answer.
		f.dir.RecordStoreAnswer(readAt)
	}
	version := listVersion{response.Source, response.Generation, response.Confirmed}
	if version == p.lastPulled {
		return
	}
	servers := response.Servers
	if !response.Whole {
		servers = applyDelta(p.view.Servers, response.Servers, response.Removed)
	}
	if response.Era != nil {
		f.dir.ObserveEra(*response.Era, response.restoredAt(time.Now()), FromDaemon)
	}
	f.dir.AddRemovedServers(response.Left)
	if !f.applyServers(List{Servers: servers, ReadAt: readAt, Revision: response.Revision, Origin: FromDaemon}, p.address) {
		// The directory kept its own list, to which a delta doesn't apply. The next confirmation brings a complete list.
		version.generation = 0
	}
	f.peers.mu.Lock()
	f.peers.lastPulled = version
	f.peers.mu.Unlock()
	f.sendDeparted(ctx, p.address, f.dir.Departed(servers))
}

// readAt returns the earliest time at which the list may have been read from the store, for a pull sent at begin. A list
// must not appear newer than it is: otherwise two daemons that pull from each other would confirm each other's list.
func (r *pullResponse) readAt(begin time.Time) time.Time {
	if r.HeldMS == nil {
		return time.Now().Add(-time.Duration(r.AgeMS) * time.Millisecond)
	}
	return begin.Add(time.Duration(*r.HeldMS-r.AgeMS) * time.Millisecond)
}

// beforeMS returns the time a number of milliseconds before another one, at most a day.
func beforeMS(at time.Time, ms int64) time.Time {
	return at.Add(-min(time.Duration(min(ms, math.MaxInt32))*time.Millisecond, 24*time.Hour))
}

// held returns how long the source held the pull, 0 if unknown.
func (r *pullResponse) held() time.Duration {
	if r.HeldMS == nil {
		return 0
	}
	return time.Duration(*r.HeldMS) * time.Millisecond
}

// restoredAt returns when the store came back from an older copy, zero if it did not lately.
func (r *pullResponse) restoredAt(now time.Time) time.Time {
	if r.RestoredMS == nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(*r.RestoredMS) * time.Millisecond)
}

// applyDelta returns the list after the addition or replacement of the changed entries and the removal of others. The
// result is not sorted.
func applyDelta(list, changed []balancer.Server, removed []string) []balancer.Server {
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

// sendPull sends a pull and returns the response.
func (c *peerClient) sendPull(ctx context.Context, address string, request pullRequest, timeout time.Duration) (pullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response pullResponse
	body, err := json.Marshal(request)
	if err != nil {
		return response, eris.Wrap(err, "pull")
	}
	url := "http://" + address + PathPull
	if request.AcceptsStale {
		url += "?" + paramAcceptsStale
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return response, eris.Wrap(err, "pull")
	}
	if request.NoticeDigest != 0 {
		req.Header.Set(headerNoticeDigest, strconv.FormatUint(request.NoticeDigest, 16))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response, eris.Wrap(err, "pull")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPullResponseBytes))
	if err != nil {
		return response, eris.Wrap(err, "pull")
	}
	if resp.StatusCode != http.StatusOK {
		return response, fmt.Errorf("pull from %s: status %d", address, resp.StatusCode)
	}
	return response, eris.Wrap(json.Unmarshal(data, &response), "pull")
}

// Handler serves the pulls of other daemons at PathPull, the notices that they send at PathNotices, and the replicas that they know to
// have left at PathDeparted.
func (f *Feed) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathPull, f.servePull)
	mux.HandleFunc("POST "+PathNotices, f.serveNotices)
	mux.HandleFunc("POST "+PathDeparted, f.serveDeparted)
	return mux
}

// servePull responds as soon as there is an update for the follower, or after its wait.
func (f *Feed) servePull(w http.ResponseWriter, r *http.Request) {
	var request pullRequest
	if err := httpjson.Read(r.Body, maxPullRequestBytes, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.AcceptsStale = r.URL.Query().Has(paramAcceptsStale)
	if f.stopped.Load() {
		http.Error(w, "this daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	if request.Scope == f.self.DataCentre && request.Node != f.self.Node {
		// A daemon that could not renew its claim records who still takes it for the reader.
		f.followers.add(request.Node, Helper{request.Address, request.Cores}, time.Now())
	}
	if !f.holdsRole(request.Scope) {
		http.Error(w, "this daemon does not read for "+request.Scope, http.StatusConflict)
		return
	}
	if text := r.Header.Get(headerNoticeDigest); text != "" {
		digest, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			http.Error(w, "digest of notices: "+err.Error(), http.StatusBadRequest)
			return
		}
		request.NoticeDigest = digest
	}
	begin := time.Now()
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxPullWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		_, confirmed := f.dir.ConfirmedView()
		held := time.Since(begin)
		response, hasUpdate := f.buildResponse(request)
		if hasUpdate || wait <= 0 {
			f.addNoticesTo(&response, request)
			heldMS := held.Milliseconds()
			response.HeldMS = &heldMS
			httpjson.Write(w, http.StatusOK, response)
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

// addNoticesTo adds the notices to a response if the follower's differ. A difference alone does not end the wait of a pull,
// since datagrams carry notices sooner.
func (f *Feed) addNoticesTo(response *pullResponse, request pullRequest) {
	set := f.currentNotices()
	response.NoticeDigest = set.digest
	if set.digest != request.NoticeDigest {
		response.Notices = set.notices
	}
}

// holdsRole reports whether this daemon holds the role of a scope; every daemon serves the empty scope. A daemon that lost
// its claim rejects its followers, because its list may become stale without notice.
func (f *Feed) holdsRole(scope string) bool {
	for _, r := range f.roles {
		if r.scope == scope {
			return r.isHeld()
		}
	}
	return scope == ""
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// buildResponse returns the changes that the follower lacks. hasUpdate is false if there are none.
func (f *Feed) buildResponse(request pullRequest) (response pullResponse, hasUpdate bool) {
	generation := request.Generation
	if request.Source != f.source {
		generation = 0
	}
	view, changed, removed, whole := f.dir.Delta(generation)
	whole = whole || generation == 0
	response = pullResponse{
		Source: f.source, Generation: view.Generation, Confirmed: view.Confirmations,
	}
	if view.DataCentresHash != request.Centres {
		response.Centres = view.DataCentres
	}
	if view.Table != nil && view.Table.Version() > request.Version {
		config := view.Table.Config()
		response.Config, hasUpdate = &config, true
	}
	if view.Evacuations.Revision > request.Evacuations {
		response.Evacuations = &view.Evacuations
		hasUpdate = hasUpdate || len(view.Evacuations.DataCentres) > 0 || request.Evacuations > 0
	}
	if view.Generation == 0 {
		return response, hasUpdate
	}
	response.StoreFailedMS, response.StoreSpan = f.storeFailedMS(time.Now()), f.storeSpan(time.Now())
	if request.Scope == "" && request.Digest != 0 && !request.AcceptsStale && time.Since(view.ReadAt) >= centreStaleAfter {
		// The follower already has a list and requests a fresh one, but this one is stale too. When all daemons start at the
		// same time, it would otherwise receive stale lists with each of its pulls.
		response.Generation = 0
		return response, hasUpdate
	}
	response.AgeMS, response.Revision = ceilMilliseconds(time.Since(view.ReadAt)), view.Revision
	if view.eraKnown {
		response.Era = &view.Era
	}
	if now := time.Now(); view.isRecentlyRestored(now) {
		restoredMS := now.Sub(view.RestoredAt).Milliseconds()
		response.RestoredMS = &restoredMS
	}
	if request.Digest != view.Digest && (whole || generation != view.Generation) {
		response.Servers, response.Removed, response.Whole = changed, removed, whole
	}
	if response.Whole && response.RestoredMS != nil {
		response.Left = f.dir.RemovedServers()
	}
	// Every change of the list also increments View.Confirmations. A follower that rejected a list waits for the next
	// confirmation.
	return response, hasUpdate || request.Source != f.source || request.Confirmed != view.Confirmations
}
