// Package gateway answers callers' requests by the operator's routes: a query over shards or a request to one replica.
// It composes the decisions of the other packages and knows no wire format.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/topology"
)

// Request is one caller's request. It is not changed after Serve began.
type Request struct {
	// ID is the caller's identifier of this attempt.
	ID string
	// Method, Host, Target and Header are passed on unchanged. Target is the path with the query, Path the path alone.
	Method, Host, Target, Path string
	Header                     http.Header
	Body                       []byte
	// Received is when the request's head was read, Wait how long the caller waits from then; 0 if unknown.
	Received time.Time
	Wait     time.Duration
	// From is the node of the daemon that passed the request on; empty for a caller's own. Depth is the number of daemons
	// that did, Shards the shards of the route that it asks for, nil for all, Service the service that it chose.
	From    string
	Depth   int
	Shards  []int
	Service string
	// parts takes each part of the answer as it comes; nil for a caller's own request.
	parts func(*part)
}

// Answer is what a replica answered.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature proves that the replica gave this answer to this request.
	Signature string
}

// OK reports whether the answer is a success.
func (a Answer) OK() bool { return a.Status >= 200 && a.Status < 300 }

// Reply is what the caller gets: the answer of a replica, the merged answer of a query, or an error.
type Reply struct {
	// Answer is the answer of one replica, passed through.
	Answer *Answer
	// Query is set for the answer of a query over shards.
	Query *QueryAnswer
	// Err is set if there is neither.
	Err *api.Error
}

// QueryAnswer is the merged answer of a query.
type QueryAnswer struct {
	// Records is the body: the greatest records of the included shards.
	Records []byte
	// Signatures holds one signature per included shard, Missing the number of shards that are not included.
	Signatures []string
	Missing    int
}

// Sender sends a request to a replica and returns its answer. A failure is a *backend.Error, whose class states whether
// the replica may have executed the request; an answer of status 500 and above that may have been executed is returned
// together with such an error. dispatch is called before the first byte is
// written; if it returns false, nothing is sent. Implementations are safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, replica balancer.Choice, request *Request, bounds Bounds, dispatch func() bool) (Answer, error)
}

// Bounds is what an answer may take.
type Bounds struct {
	// Left is how long the caller still waits.
	Left time.Duration
	// Bytes is the size of the body.
	Bytes int64
}

const (
	// maxAnswer bounds the body of an answer that is passed through, in bytes.
	maxAnswer = 16 << 20
	// maxPart bounds a shard's part of a query, which is merged in memory with all other parts, in bytes: 65,536 records.
	maxPart = 1 << 20
	// largePart is the size in bytes from which a part is cut to the records that can count as soon as it is read.
	largePart = 64 << 10
)

// Options are the parameters of a gateway.
type Options struct {
	// BudgetRatio, BudgetFixed and BudgetSpan bound the extra sub-requests to a service of all daemons together.
	BudgetRatio, BudgetFixed float64
	BudgetSpan               time.Duration
	// Publisher tells the other daemons which requests crash replicas; it may be nil.
	Publisher quarantine.Publisher
	// Node names this daemon to others, Self is what decides which queries it passes to them, Delegates carries these; nil
	// passes none. Seed makes the choice of helpers repeatable.
	Node      string
	Self      delegation.Self
	Delegates Delegates
	Seed      uint64
}

// Gateway answers requests. It is safe for concurrent use.
type Gateway struct {
	opts     Options
	dir      *topology.Directory
	balancer *balancer.Balancer
	sender   Sender
	log      *zap.Logger
	draw     func() float64
	guard    *quarantine.Guard
	metrics  *instruments
	// served counts the requests without trouble, of which a sample is logged.
	served atomic.Uint64

	inFlight atomic.Int64
	// delegated is the number of other daemons' queries in flight.
	delegated atomic.Int64
	leaving   atomic.Bool
	helpers   *delegation.Pool
	stopping  atomic.Bool
	// ending ends when the requests in flight have to be answered.
	ending context.Context
	end    context.CancelFunc

	// throttles holds a *limit.Throttle per route name.
	throttles sync.Map
	// saturatedAt holds the time.Time of the last part of a helper with a saturated shard, per route name.
	saturatedAt sync.Map

	mu      sync.Mutex
	shares  *shares
	budgets map[string]*budget
	// counted is when this daemon first knew how many daemons there are.
	counted time.Time
}

// budget bounds the extra sub-requests to a service.
type budget struct {
	*hedge.Window
	// quota is this daemon's part of the fixed budget.
	quota *hedge.Quota
}

// New returns a gateway. draw returns random numbers from [0, 1) and is safe for concurrent use.
func New(opts Options, dir *topology.Directory, b *balancer.Balancer, sender Sender, draw func() float64, meter metric.Meter, log *zap.Logger) (*Gateway, error) {
	g := &Gateway{
		opts: opts, dir: dir, balancer: b, sender: sender, draw: draw, log: log, budgets: make(map[string]*budget),
		shares: newShares(topology.View{}, opts.Self),
	}
	g.helpers = delegation.NewPool(opts.Self, opts.Seed)
	g.guard = quarantine.NewGuard(quarantine.DefaultRule(), quarantineTime, opts.Publisher, nil)
	g.ending, g.end = context.WithCancel(context.Background())
	var err error
	g.metrics, err = newInstruments(meter, g)
	return g, eris.Wrap(err, "metrics")
}

const (
	// budgetMargin is the part of the fleet's budget that is used. The rest covers that sub-requests arrive at other
	// times than they are sent.
	budgetMargin = 0.9
	// quarantineTime is how long a request that crashed replicas is refused. It is short, since replicas that lose answers
	// for other reasons can make a good request look like one.
	quarantineTime = time.Minute
	// fixedMargin is the part of the fixed budget that is used: daemons learn late how many they are.
	fixedMargin = 0.7
)

// Run passes each new view to the balancer and the budgets until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	var generation uint64
	for ctx.Err() == nil {
		view, changed := g.dir.View()
		now := time.Now()
		if view.Generation != generation {
			generation = view.Generation
			g.balancer.SetServers(view.Servers, now)
		}
		g.helpers.SetView(&view)
		g.setShares(newShares(view, g.opts.Self))
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// setShares takes the shares of a view. Budgets exist from the first view on that names their service.
func (g *Gateway) setShares(s *shares) {
	g.balancer.SetShares(s.connections)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares = s
	if g.counted.IsZero() && s.known {
		g.counted = now
	}
	for service := range s.limits {
		g.ensureBudget(service)
	}
	for service, b := range g.budgets {
		b.quota.Set(s.part(service), now)
	}
}

// ensureBudget returns the budget of a service. No daemon has used anything of a new service's budget, so its quota only
// waits for the hold that follows the start of this daemon. The caller holds the lock.
func (g *Gateway) ensureBudget(service string) *budget {
	b := g.budgets[service]
	if b == nil {
		b = &budget{hedge.NewWindow(g.opts.BudgetSpan, g.opts.BudgetRatio*budgetMargin, 0), hedge.NewQuota(g.opts.BudgetSpan)}
		if !g.counted.IsZero() {
			b.quota.Set(g.shares.part(service), g.counted)
		}
		g.budgets[service] = b
	}
	return b
}

// budget returns the budget of the extra sub-requests to a service.
func (g *Gateway) budget(service string) *hedge.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.ensureBudget(service)
	g.update(b, time.Now())
	return b.Window
}

// keepsNone reports whether this daemon keeps no connection to the replicas of a service and helpers do.
func (g *Gateway) keepsNone(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shares.keepsNone(service)
}

// update sets the fixed part of a budget to what the quota allows now. The caller holds the lock.
func (g *Gateway) update(b *budget, now time.Time) {
	b.SetFixed(g.opts.BudgetFixed * fixedMargin * b.quota.Part(now))
}

// Ready reports whether the gateway takes requests.
func (g *Gateway) Ready() bool {
	view, _ := g.dir.View()
	return view.Known() && !g.stopping.Load()
}

// Leave makes the gateway refuse the queries of other daemons, which have other helpers; callers' requests are served on.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Stop makes the gateway refuse new requests.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// End answers the requests in flight at once: their attempts are cancelled.
func (g *Gateway) End() { g.end() }

// Budgets returns how many extra sub-requests are allowed now, by service.
func (g *Gateway) Budgets(now time.Time) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := make(map[string]float64, len(g.budgets))
	for service, b := range g.budgets {
		g.update(b, now)
		left[service] = b.Left(now)
	}
	return left
}

// Spent returns the extra sub-requests since the start, by service.
func (g *Gateway) Spent() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	spent := make(map[string]int64, len(g.budgets))
	for service, b := range g.budgets {
		spent[service] = b.Spent()
	}
	return spent
}

// InFlight returns the number of requests that are being answered.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// retryAfterStart is the advised wait while the daemon learns the configuration, which takes two calls to the store: 20 to
// 60 ms after the start of the process.
const retryAfterStart = 100 * time.Millisecond

// answerReserve is the time before a caller's deadline that the last answer takes to it: a few milliseconds of link and of
// a busy VM's processor. An answer sent at the deadline comes too late to say anything.
const answerReserve = 15 * time.Millisecond

// Limits returns the operator's limits on requests; ok is false while no configuration is known.
func (g *Gateway) Limits() (limits routing.Limits, ok bool) {
	view, _ := g.dir.View()
	if view.Table == nil {
		return routing.Limits{}, false
	}
	return view.Table.Config().Limits, true
}

// Serve answers a request. The end of ctx means that the caller left.
func (g *Gateway) Serve(ctx context.Context, request *Request) Reply {
	view, _ := g.dir.View()
	return g.serveIn(ctx, request, view)
}

// serveIn answers a request in a view.
func (g *Gateway) serveIn(ctx context.Context, request *Request, view topology.View) (answer Reply) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer func() {
		if p := recover(); p != nil {
			err := g.contained(p, inRequest, request.ID)
			answer = Reply{Err: api.Wrap(api.Internal, err, "the request could not be answered")}
		}
	}()
	reply, r := g.serve(ctx, request, view)
	g.report(ctx, request, reply, r)
	return reply
}

// serve returns the reply and, if the request got that far, its run.
func (g *Gateway) serve(ctx context.Context, request *Request, view topology.View) (Reply, *run) {
	if !view.Known() {
		return refuse(api.NoConfiguration, retryAfterStart, "this daemon has no configuration yet"), nil
	}
	if g.stopping.Load() {
		return refuse(api.Stopping, 0, "this daemon is stopping"), nil
	}
	if request.ID == "" {
		return Reply{Err: api.Errorf(api.BadRequest, "the request has no identifier")}, nil
	}
	route := view.Table.Match(request.Host, request.Path)
	if route == nil {
		return Reply{Err: api.Errorf(api.NoRoute, "no route for host %q and path %q in version %d", request.Host,
			request.Path, view.Table.Version())}, nil
	}
	wait := route.Timeout
	if request.Wait > 0 {
		wait = min(wait, max(request.Wait/2, request.Wait-answerReserve))
	}
	if route.Safety == routing.Once {
		// The caller's leaving does not end what must not run again.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Received.Add(wait))
	defer cancel()
	stop := context.AfterFunc(g.ending, cancel)
	defer stop()
	kind := quarantine.Order
	if route.IsQuery() {
		kind = quarantine.Search
	}
	ctx, watch, err := g.guard.Admit(ctx, fingerprint(request), kind)
	if err != nil {
		return refuse(api.Quarantined, quarantineTime, "the request crashed replicas"), nil
	}
	defer watch.Done()
	r := &run{gateway: g, request: request, route: route, view: &view, watch: watch}
	if !route.IsQuery() {
		return r.single(ctx), r
	}
	return r.query(ctx), r
}

// Learn takes a request that crashed replicas, as another daemon saw it.
func (g *Gateway) Learn(notice quarantine.Notice) {
	g.log.Info(eventlog.RequestCrashing, zap.String("fingerprint", notice.Fingerprint), zap.Time("until", notice.Until),
		zap.String("from", "another daemon"))
	g.guard.Learn(notice)
}

// fingerprint names requests that do the same: those that crash replicas come again with the same path and body.
func fingerprint(request *Request) string {
	// Writes to this hash never fail.
	h := xxhash.New()
	for _, part := range []string{request.Method, request.Host, request.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(request.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}

func refuse(kind api.Kind, retryAfter time.Duration, message string) Reply {
	err := api.Errorf(kind, "%s", message)
	err.RetryAfter = retryAfter
	return Reply{Err: err}
}
