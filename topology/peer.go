package topology

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/routing"
)

const (
	// PathPull is where a daemon answers Pull.
	PathPull = "/v1/topology"
	// pullWait is how long a reader holds a pull that has nothing new. It is below staleAfter less the reader's interval,
	// so that a live reader never looks stale.
	pullWait = 700 * time.Millisecond
	// pullTimeout bounds a pull beyond its wait.
	pullTimeout = 500 * time.Millisecond
	// maxPull bounds the body of an answer in bytes.
	maxPull = 16 << 20
	// maxFollowers bounds the remembered followers.
	maxFollowers = 10_000
)

// pullRequest asks for what is newer than the follower's view.
type pullRequest struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	// Version is the follower's configuration version, Source and Generation the list that it has from this reader.
	Version    int64  `json:"version"`
	Source     string `json:"source"`
	Generation uint64 `json:"generation"`
	WaitMS     int64  `json:"wait_ms"`
}

// pullAnswer holds what is newer; an absent part is unchanged.
type pullAnswer struct {
	Config     *routing.Config   `json:"config,omitempty"`
	Source     string            `json:"source"`
	Generation uint64            `json:"generation"`
	Servers    []balancer.Server `json:"servers,omitempty"`
	// AgeMS is the time since the store confirmed the list.
	AgeMS   int64 `json:"age_ms"`
	Daemons int   `json:"daemons"`
}

type peerClient struct {
	http *http.Client
	// source and generation name the list that this daemon took last.
	source     string
	generation uint64
}

func newPeerClient() peerClient {
	return peerClient{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: pullTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}}}
}

// pull asks another daemon and takes what is newer. It is called by the goroutine of Run only.
func (f *Feed) pull(ctx context.Context, address string, wait time.Duration) error {
	view, _ := f.dir.View()
	request := pullRequest{Node: f.self.Node, DataCentre: f.self.DataCentre, WaitMS: wait.Milliseconds()}
	if view.Table != nil {
		request.Version = view.Table.Version()
	}
	request.Source, request.Generation = f.peers.source, f.peers.generation
	answer, err := f.peers.ask(ctx, address, request, wait+pullTimeout)
	if err != nil {
		return err
	}
	if answer.Config != nil {
		f.applyConfig(*answer.Config, address)
	}
	if answer.Generation > 0 {
		readAt := time.Now().Add(-time.Duration(answer.AgeMS) * time.Millisecond)
		servers := answer.Servers
		if servers == nil {
			servers = view.Servers
		}
		f.takeServers(servers, readAt, address)
		f.peers.source, f.peers.generation = answer.Source, answer.Generation
	}
	if answer.Daemons > 0 {
		f.dir.SetDaemons(answer.Daemons)
	}
	return nil
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
	if err := httpjson.Read(r.Body, maxPull, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.DataCentre == f.self.DataCentre && request.Node != f.self.Node {
		f.mu.Lock()
		if _, ok := f.followers[request.Node]; ok || len(f.followers) < maxFollowers {
			f.followers[request.Node] = time.Now()
		}
		f.mu.Unlock()
	}
	wait := time.Duration(request.WaitMS) * time.Millisecond
	deadline := time.NewTimer(min(wait, pullWait))
	defer deadline.Stop()
	for {
		view, changed := f.dir.View()
		answer, news := f.answer(view, request)
		if news || wait <= 0 {
			httpjson.Write(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// answer returns what the follower lacks, and whether that is anything.
func (f *Feed) answer(view View, request pullRequest) (answer pullAnswer, news bool) {
	answer = pullAnswer{Source: f.self.Node, Generation: view.Generation, Daemons: view.Daemons}
	if view.Table != nil && view.Table.Version() > request.Version {
		config := view.Table.Config()
		answer.Config, news = &config, true
	}
	if view.Generation == 0 {
		return answer, news
	}
	answer.AgeMS = time.Since(view.ReadAt).Milliseconds()
	if request.Source != f.self.Node || request.Generation != view.Generation {
		answer.Servers, news = view.Servers, true
	}
	return answer, news
}
