package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/reach"
)

// ReplicaLinks are the connections to replicas. Implementations are safe for concurrent use.
type ReplicaLinks interface {
	// Probe opens a connection to a replica and closes it. It returns an error if that fails before ctx ends.
	Probe(ctx context.Context, replica balancer.Server) error
	// CloseIdle closes all idle connections.
	CloseIdle()
}

const (
	// probedReplicas is the number of replicas that are probed at the same time. Some of them may have ended.
	probedReplicas = 5
	// probeTimeout bounds a probe. It covers opening a connection to another region on a busy VM.
	probeTimeout = 200 * time.Millisecond
	// reachCheckInterval is the time between two checks for an isolation, isolatedProbeInterval that between two rounds of probes
	// of an isolated daemon.
	reachCheckInterval    = 150 * time.Millisecond
	isolatedProbeInterval = 300 * time.Millisecond
	// isolationLogInterval is the time between two log lines of an isolated daemon.
	isolationLogInterval = time.Second
)

// isResponse reports whether an attempt with this result received a response, whatever it says.
func isResponse(err error) bool {
	if err == nil {
		return true
	}
	switch backend.FailureOf(err) {
	case backend.ServerError, backend.Refused, backend.Mismatched, backend.Undecodable, backend.TooLarge:
		return true
	default:
		return false
	}
}

// recordResponse records that a replica responded to an attempt with this result, if it did.
func (g *Gateway) recordResponse(err error) {
	if isResponse(err) {
		g.reach.Responded(time.Now())
	}
}

// reachesReplicas reports whether a replica has responded since the time, or a connection to one of several can be opened now.
func (g *Gateway) reachesReplicas(since time.Time) bool {
	if g.reach.HasRespondedSince(since) {
		return true
	}
	// Many requests lose connections at the same moment, and one round of probes is enough for all of them.
	_, err, _ := g.confirmations.Do("", func() (any, error) {
		if g.probe(context.Background()).reached == 0 {
			return nil, errIsolated
		}
		return nil, nil
	})
	return err == nil || g.reach.HasRespondedSince(since)
}

// probeRound is the result of opening connections to some replicas.
type probeRound struct {
	probed  []balancer.Server
	reached int
}

// probe opens connections to some replicas to which the configuration sends requests. Entries of other services say nothing of this
// daemon's links.
func (g *Gateway) probe(ctx context.Context) probeRound {
	view, _ := g.directory.View()
	if view.Table == nil {
		return probeRound{}
	}
	round := probeRound{probed: g.balancer.ProbeCandidates(probedReplicas, view.Table.RoutedServices(), time.Now())}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan error, len(round.probed))
	for _, replica := range round.probed {
		go func() { results <- g.opts.Links.Probe(ctx, replica) }()
	}
	for range round.probed {
		if err := <-results; err == nil {
			round.reached++
		}
	}
	return round
}

// ReportOpen records the result of opening a connection to a replica.
func (g *Gateway) ReportOpen(replica string, err error, now time.Time) {
	if err == nil {
		g.reach.Opened()
	} else {
		g.reach.OpenFailed(replica, now)
	}
}

// isIsolated reports whether this daemon is partitioned from all replicas.
func (g *Gateway) isIsolated() bool { return g.reach.State() == reach.Isolated }

// WatchReach checks until ctx ends whether this daemon is partitioned from all replicas.
func (g *Gateway) WatchReach(ctx context.Context) {
	if g.opts.Links == nil {
		return
	}
	timer := time.NewTimer(reachCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(g.checkReach(ctx))
	}
}

// checkReach updates the state and returns the time until the next check.
func (g *Gateway) checkReach(ctx context.Context) time.Duration {
	now := time.Now()
	state, round := g.reach.Update(g.balancer.CountSilent(now), now), probeRound{}
	if state != reach.Connected {
		round = g.probe(ctx)
		if ctx.Err() != nil {
			return reachCheckInterval
		}
		_, state = g.reach.Decide(len(round.probed), round.reached, time.Now())
	}
	// A response to a request that was tried ends an isolation too, between two checks.
	if isIsolated := state == reach.Isolated; isIsolated != g.wasIsolated {
		g.wasIsolated = isIsolated
		g.setIsolated(isIsolated, round)
	}
	if state == reach.Isolated {
		g.logIsolation(round)
		return isolatedProbeInterval
	}
	return reachCheckInterval
}

// logIsolation names the replicas that were probed without ending the isolation.
func (g *Gateway) logIsolation(round probeRound) {
	if time.Since(g.isolationLoggedAt) < isolationLogInterval {
		return
	}
	g.isolationLoggedAt = time.Now()
	var replicas, services []string
	for _, r := range round.probed {
		replicas, services = append(replicas, r.ID), append(services, r.Service)
	}
	g.log.Info(eventlog.IsolationPersists, zap.Strings("replicas", replicas), zap.Strings("services", services), zap.Int("reached", round.reached))
}

// errIsolated is the cancellation cause of the attempts in flight of a daemon that has found that it reaches no replica.
var errIsolated = errors.New("this daemon reaches no replica")

// isolationWatch tells the requests in flight that the daemon has become isolated. It is safe for concurrent use.
type isolationWatch struct {
	mu     sync.Mutex
	nextID uint64
	// cancels holds the functions that end the attempts of the requests in flight.
	cancels map[uint64]context.CancelCauseFunc
}

// add registers a request in flight; remove must be called when it has ended.
func (w *isolationWatch) add(cancel context.CancelCauseFunc) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancels == nil {
		w.cancels = make(map[uint64]context.CancelCauseFunc)
	}
	w.nextID++
	id := w.nextID
	w.cancels[id] = cancel
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.cancels, id)
	}
}

// start ends the attempts of all requests in flight.
func (w *isolationWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancels {
		cancel(errIsolated)
	}
}

// withIsolation returns a context that also ends, with the cause errIsolated, when an isolation starts.
func (g *Gateway) withIsolation(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	remove := g.isolation.add(cancel)
	return ctx, func() {
		remove()
		cancel(nil)
	}
}

// setIsolated logs and applies the start or the end of an isolation.
func (g *Gateway) setIsolated(isolated bool, round probeRound) {
	g.log.Warn(eventlog.IsolationChanged, zap.Bool("isolated", isolated), zap.Int("probed", len(round.probed)), zap.Int("reached", round.reached),
		zap.Int64("in_flight", g.InFlight()))
	g.balancer.SetIsolated(isolated)
	// A connection that was silent during a partition resumes late, if ever.
	g.opts.Links.CloseIdle()
	if isolated {
		g.isolation.start()
	}
}
