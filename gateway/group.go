package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/coverage"
)

// Ask is what a daemon asks of one in another data centre of its region: to send a request to shards whose replicas are
// near that one, and to return their merged records. The bytes between data centres are then those of one part instead
// of one per shard.
type Ask struct {
	Request  Request
	Services []string
	// Kind and Target describe the work for the choice of replicas.
	Kind   string
	Target time.Duration
	// Left is how long the caller still waits, Cut when the asked daemon tells what it has so far at the latest; shards
	// that answer later are told one by one.
	Left, Cut time.Duration
	Top       int
}

// Told is a part of the answer to an Ask: services that answered, their signatures in the same order, and the greatest
// records of them all. No service is told twice.
type Told struct {
	Services   []string
	Signatures []string
	Records    []byte
}

// Asker asks daemons of other data centres. Implementations are safe for concurrent use.
type Asker interface {
	// Knows reports whether a daemon of the data centre can be asked now.
	Knows(dataCentre string) bool
	// Ask asks one of them, calls tell for each part of the answer, and returns at its end. A failure is a
	// *backend.Error; it is NotSent if nothing was asked or that daemon refused. dispatch is called before the first
	// byte is written, as in Sender.
	Ask(ctx context.Context, dataCentre string, ask Ask, dispatch func() bool, tell func(Told)) error
}

const (
	// leastGroup is the number of shards from which asking another daemon saves more bytes than it costs.
	leastGroup = 3
	// cutFraction of the wait before a second attempt is when the asked daemon tells the first part. The rest is for the
	// way back, so that only the shards that it leaves out get a second attempt.
	cutFraction = 0.75
)

// group is the shards of a query that another daemon is asked for.
type group struct {
	id         string
	dataCentre string
	services   []string
	// expected is the replica of each service that the asked daemon most likely chooses.
	expected map[string]string
	once     sync.Once

	mu   sync.Mutex
	told []Told
	// ended is set at the end of the answer, err is its failure. changed is closed at each part and at the end.
	ended   bool
	err     error
	changed chan struct{}
}

// update changes the group and wakes those that wait for it.
func (g *group) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	close(g.changed)
	g.changed = make(chan struct{})
}

// state reports whether the service was told, and if not whether the answer has ended, with which failure.
func (g *group) state(service string) (told, ended bool, err error, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.told {
		if slices.Contains(t.Services, service) {
			return true, g.ended, g.err, g.changed
		}
	}
	return false, g.ended, g.err, g.changed
}

// groupPrefix begins the name of a group where a replica's stands otherwise.
const groupPrefix = "via "

// planGroups groups the shards whose best replica is in another data centre of the region.
func (r *run) planGroups(services []string) {
	asker := r.gateway.opts.Asker
	if asker == nil {
		return
	}
	byCentre := make(map[string][]string)
	expected := make(map[string]string)
	now := time.Now()
	for _, s := range services {
		if best, ok := r.gateway.balancer.Best(s, r.work(), now); ok && best.Distance == balancer.SameRegion {
			byCentre[best.DataCentre] = append(byCentre[best.DataCentre], s)
			expected[s] = best.ID
		}
	}
	for centre, list := range byCentre {
		if len(list) < leastGroup || !asker.Knows(centre) {
			continue
		}
		g := &group{id: groupPrefix + centre, dataCentre: centre, services: list, expected: expected, changed: make(chan struct{})}
		r.groups = append(r.groups, g)
		for _, s := range list {
			r.grouped[s] = g
		}
	}
}

func (r *run) work() balancer.Work { return balancer.Work{Kind: r.route.Name, Target: r.route.Target} }

// ask carries out the attempt of one shard of a group; the first one asks for all.
func (r *run) ask(ctx context.Context, g *group, service string) (func(), error) {
	g.once.Do(func() { go r.askAll(g) })
	for {
		told, ended, err, changed := g.state(service)
		switch {
		case told:
			return func() {}, nil
		case err != nil:
			return nil, err
		case ended:
			return nil, &backend.Error{Failure: backend.ServerError, Cause: errLeftOut}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
		}
	}
}

var errLeftOut = errors.New("the asked daemon left the shard out")

// askAll asks for the shards of a group.
func (r *run) askAll(g *group) {
	deadline, _ := r.ctx.Deadline()
	dispatched := false
	err := r.gateway.opts.Asker.Ask(r.ctx, g.dataCentre, Ask{
		Request: *r.request, Services: g.services, Kind: r.route.Name, Target: r.route.Target, Top: r.route.Top,
		Left: time.Until(deadline), Cut: time.Duration(cutFraction * float64(r.plan.HedgeDelay)),
	}, func() bool { return r.dispatch(&dispatched) }, func(t Told) { g.update(func() { g.told = append(g.told, t) }) })
	if err != nil {
		r.mu.Lock()
		r.countNotRun(err, dispatched)
		r.mu.Unlock()
	}
	g.update(func() { g.ended, g.err = true, err })
}

// collect returns the answered shards' signatures and parts. All shards that a group told are taken from it, whoever
// answered first, since its records are merged.
func (r *run) collect(services []string) (signatures []string, parts [][]byte) {
	fromGroup := make(map[string]bool)
	for _, g := range r.groups {
		g.mu.Lock()
		for _, t := range g.told {
			parts = append(parts, t.Records)
			signatures = append(signatures, t.Signatures...)
			for _, s := range t.Services {
				fromGroup[s] = true
			}
		}
		g.mu.Unlock()
	}
	for i, a := range r.answers {
		if a != nil && !fromGroup[services[i]] {
			parts = append(parts, a.Body)
			signatures = append(signatures, a.Signature)
		}
	}
	return signatures, parts
}

// Tell answers the Ask of another daemon: one attempt per shard, without hedges and retries, which the asking daemon
// decides. The first part is told when all shards have ended or at the cut, later answers one by one. An error says that
// nothing was sent; it is returned before tell is called.
func (g *Gateway) Tell(ctx context.Context, ask Ask, tell func(Told)) error {
	if !g.Ready() {
		return api.Errorf(api.Stopping, "this daemon takes no requests")
	}
	ctx, cancel := context.WithTimeout(ctx, ask.Left)
	defer cancel()
	work := balancer.Work{Kind: ask.Kind, Target: ask.Target}
	type result struct {
		service string
		answer  Answer
		err     error
	}
	results := make(chan result, len(ask.Services))
	for _, service := range ask.Services {
		go func() {
			answer, err := g.sendOnce(ctx, &ask.Request, service, work)
			results <- result{service, answer, err}
		}()
	}
	cut := time.NewTimer(ask.Cut)
	defer cut.Stop()
	var first Told
	var parts [][]byte
	isFirst, isCut := true, false
	for waiting := len(ask.Services); waiting > 0; {
		select {
		case r := <-results:
			waiting--
			switch {
			case r.err != nil:
			case isFirst:
				first.Services = append(first.Services, r.service)
				first.Signatures = append(first.Signatures, r.answer.Signature)
				parts = append(parts, r.answer.Body)
			default:
				tell(Told{
					Services: []string{r.service}, Signatures: []string{r.answer.Signature},
					Records: coverage.Top([][]byte{r.answer.Body}, ask.Top),
				})
			}
		case <-cut.C:
			isCut = true
		case <-ctx.Done():
			return nil
		}
		if isFirst && (waiting == 0 || isCut) {
			isFirst = false
			first.Records = coverage.Top(parts, ask.Top)
			tell(first)
		}
	}
	return nil
}

// sendOnce sends a request to one replica of a service.
func (g *Gateway) sendOnce(ctx context.Context, request *Request, service string, work balancer.Work) (Answer, error) {
	begin := time.Now()
	choice, ok := g.balancer.Pick(service, work, nil, begin)
	if !ok {
		return Answer{}, &backend.Error{Failure: backend.NotSent, Cause: errNotListed}
	}
	deadline, _ := ctx.Deadline()
	answer, err := g.sender.Send(ctx, choice, request, time.Until(deadline), func() bool { return true })
	outcome := outcomeOf(err)
	if ctx.Err() != nil {
		outcome = balancer.Abandoned
	}
	g.transition(choice, service, request.ID, g.balancer.Done(choice.ID, work.Kind, begin, outcome, time.Now()), outcome, time.Since(begin), err)
	return answer, err
}
