package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// probeInterval and probeTimeout are those of the load balancer's readiness probes.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// probeChanges is the number of equal probes in a row that add or remove a daemon.
	probeChanges = 2
)

// probes is the load balancer's view of one daemon.
type probes struct {
	in     bool
	streak int
}

// observe takes the result of a probe. Only probeChanges results in a row change the view.
func (p *probes) observe(ready bool) {
	if ready == p.in {
		p.streak = 0
		return
	}
	p.streak++
	if p.streak == probeChanges {
		p.in, p.streak = ready, 0
	}
}

// balancer chooses a daemon for each request, as a load balancer that probes readiness. It is safe for concurrent
// use.
type balancer struct {
	targets []string
	client  *http.Client

	mu    sync.Mutex
	views []probes
}

func newBalancer(targets []string) *balancer {
	return &balancer{
		targets: targets, views: make([]probes, len(targets)), client: &http.Client{Timeout: probeTimeout},
	}
}

// run probes the daemons until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for i, target := range b.targets {
			wg.Go(func() {
				ready := isReady(ctx, b.client, target)
				b.mu.Lock()
				b.views[i].observe(ready)
				b.mu.Unlock()
			})
		}
		wg.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func isReady(ctx context.Context, client *http.Client, target string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// in returns the daemons that get requests.
func (b *balancer) in() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []string
	for i, v := range b.views {
		if v.in {
			in = append(in, b.targets[i])
		}
	}
	return in
}

// target returns the daemon of request i. Without any ready daemon it is one that is not ready.
func (b *balancer) target(i int) string {
	in := b.in()
	if len(in) == 0 {
		in = b.targets
	}
	return in[i%len(in)]
}
