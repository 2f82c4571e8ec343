// Package gateway answers callers' requests according to the operator's routes: queries over many shards and requests
// to a single replica. It combines the decisions of other packages and is independent of any wire format.
package gateway

import (
	"context"
	"errors"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/internal/dispatch"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/reach"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/topology"
)

// Request is a request of a caller. It must not be modified once Serve has been called.
type Request struct {
	// ID identifies this attempt of the caller. A request with an empty ID is refused.
	ID string
	// Method, Host, Target and Header are forwarded unchanged. Target is the path with the query string, Path
	// the routing.PathOf of it.
	Method, Host, Target, Path string
	// Header holds neither the key of a client account nor the name of one.
	Header http.Header
	Body   []byte
	// Key is the key of a client account that the caller sent, empty if none. Account is the name of the account, set by the
	// daemon that the caller asked.
	Key, Account string
	// Received is when the request's header was read; CallerTimeout is how long the caller waits from then on, 0 if
	// unknown.
	Received      time.Time
	CallerTimeout time.Duration
	// DelegatedBy is the node name of the delegating daemon, empty for a request that came directly from a caller.
	// DelegationDepth is the number of times the request was delegated. Shards holds the indexes of the requested shards
	// in the route, nil for all. DelegatedService is the service that the delegating daemon chose.
	DelegatedBy      string
	DelegationDepth  int
	Shards           []int
	DelegatedService string
	// parts receives each part of the answer as it arrives; nil for a request that came directly from a caller.
	parts func(*part)
}

// Answer is the response of a replica.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature proves that the replica gave this answer to this request.
	Signature string
}

// OK reports whether the status is a success.
func (a Answer) OK() bool { return a.Status >= 200 && a.Status < 300 }

// isPart reports whether the answer is a shard's part of a query: a success with the whole body. The signature alone does
// not show this, since replicas sign failures too.
func (a Answer) isPart() bool { return a.OK() && a.Status != http.StatusPartialContent }

// Reply is the result for the caller: the answer of a replica, the merged answer of a query, or an error.
type Reply struct {
	// Answer is the answer of a single replica, passed through.
	Answer *Answer
	// Query is the merged answer of a query over shards.
	Query *QueryAnswer
	// Err is set if Answer and Query are nil.
	Err *api.Error
}

// bodyBytes returns the size of the body of an answer, 0 for an error.
func (r Reply) bodyBytes() int64 {
	switch {
	case r.Answer != nil:
		return int64(len(r.Answer.Body))
	case r.Query != nil:
		return int64(len(r.Query.Records))
	default:
		return 0
	}
}

// QueryAnswer is the merged answer of a query.
type QueryAnswer struct {
	// Records is the body: the greatest records of the included shards.
	Records []byte
	// Signatures holds one signature per included shard; MissingShards is the number of shards that are not included.
	Signatures    []string
	MissingShards int
}

// Sender sends a request to a replica and returns its answer. Errors are of type *backend.Error; their Failure states
// whether the replica may have executed the request. An answer with status 500 or above that may have been executed is
// returned together with such an error. dispatch is called before the first byte is written, again for each further
// connection that is tried; if it returns false, nothing is sent. Implementations are safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, replica balancer.Choice, request *Request, limits AnswerLimits, dispatch func() bool) (Answer, error)
}

// AnswerLimits limit the time and size of an answer.
type AnswerLimits struct {
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// MaxBodyBytes is the maximum size of the body.
	MaxBodyBytes int64
	// IsPart is set for a shard's part of a query, whose body consists of binary records.
	IsPart bool
}

const (
	// maxAnswerBytes limits the body of an answer that is passed through.
	maxAnswerBytes = 16 << 20
	// maxPartBytes limits one shard's part of a query, which is merged in memory with all other parts: 65,536 records.
	maxPartBytes = 1 << 20
	// earlyTruncateBytes is the size from which a part is reduced, as soon as it is read, to the records that can be in
	// the merged answer.
	earlyTruncateBytes = 64 << 10
)

// Options configures a gateway.
type Options struct {
	// BudgetRatio is the allowed number of extra sub-requests per required one, BudgetFixed the number allowed in
	// addition in each BudgetWindow. They limit the extra sub-requests that all daemons together send to a service.
	BudgetRatio, BudgetFixed float64
	BudgetWindow             time.Duration
	// Publisher notifies the other daemons of requests that crash replicas, ObservationPublisher of requests that may do so;
	// both may be nil.
	Publisher            quarantine.Publisher
	ObservationPublisher quarantine.ObservationPublisher
	// Links are the connections to replicas, by which this daemon finds out whether it reaches any; without them it is taken to do
	// so.
	Links ReplicaLinks
	// Node is this daemon's name towards others. Self holds the properties that decide which queries it delegates.
	// DelegationClient sends these queries; if it is nil, nothing is delegated. Seed makes the choice of helpers
	// reproducible.
	Node             string
	Self             delegation.Self
	DelegationClient DelegationClient
	Seed             uint64
	// WarmupOverage and WarmupSlack state what a cold replica may receive in any one second from all daemons together: the rate that its
	// service allows times WarmupOverage, plus WarmupSlack requests.
	WarmupOverage, WarmupSlack float64
	// MemoryBytes is the memory limit of the process; 0 for none. A fraction of it limits the answers that wait for their callers.
	MemoryBytes int64
	// Quotas limits the requests of client accounts; nil for no limits.
	Quotas Quotas
}

// answerMemoryFraction is the fraction of the process's memory for answers that wait until their callers have received them.
const answerMemoryFraction = 0.25

// newAnswerBuffer returns the buffer for a process with the memory limit, which may be 0 for none.
func newAnswerBuffer(memoryBytes int64) *limit.AnswerBuffer {
	if memoryBytes == 0 {
		return limit.NewAnswerBuffer(math.MaxInt64)
	}
	return limit.NewAnswerBuffer(int64(answerMemoryFraction * float64(memoryBytes)))
}

// Gateway answers requests. It is safe for concurrent use.
type Gateway struct {
	opts        Options
	directory   *topology.Directory
	balancer    *balancer.Balancer
	sender      Sender
	log         *zap.Logger
	random      func() float64
	quarantines quarantines
	metrics     *instruments
	reach       *reach.Tracker
	isolation   isolationWatch
	// isolationLoggedAt is the time of the last log line of an isolation, wasIsolated the state after the last check. Both are owned by the
	// goroutine of WatchReach.
	isolationLoggedAt time.Time
	wasIsolated       bool
	// confirmations shares the probes of requests that lose connections at the same time.
	confirmations singleflight.Group
	// successes counts the requests without errors, of which only a sample is logged.
	successes atomic.Uint64

	// answers limits the answers that wait for their callers.
	answers *limit.AnswerBuffer

	inFlight atomic.Int64
	// delegatedInFlight is the number of queries of other daemons in flight.
	delegatedInFlight atomic.Int64
	rejectDelegated   atomic.Bool
	helpers           *delegation.Pool
	stopping          atomic.Bool
	// requestsCtx ends when the requests in flight must be answered.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc

	// throttle decides which queries are admitted.
	throttle *limit.PriorityThrottle
	// helperSaturatedAt holds, per route name, the time.Time of the last part in which a helper reported a saturated
	// shard.
	helperSaturatedAt sync.Map

	mu      sync.Mutex
	shares  *shares
	budgets map[string]*budget
	// daemonsKnownSince is when this daemon first knew the number of daemons.
	daemonsKnownSince time.Time
}

// New returns a gateway. random returns numbers from [0, 1) and must be safe for concurrent use.
func New(opts Options, directory *topology.Directory, b *balancer.Balancer, sender Sender, random func() float64,
	meter metric.Meter, log *zap.Logger) (*Gateway, error) {
	g := &Gateway{
		opts: opts, directory: directory, balancer: b, sender: sender, random: random, log: log, budgets: make(map[string]*budget),
		shares: newShares(topology.View{}, opts.Self), answers: newAnswerBuffer(opts.MemoryBytes), throttle: limit.NewPriorityThrottle(),
	}
	g.reach = reach.NewTracker(time.Now())
	g.helpers = delegation.NewPool(opts.Self, opts.Seed)
	rule := quarantine.DefaultRule()
	rule.FirstExpiry = quarantineDuration
	g.quarantines = newQuarantines(rule, quarantine.DefaultExpiry, opts.Publisher, opts.ObservationPublisher)
	if opts.Links != nil {
		g.quarantines.each(func(guard *quarantine.Guard) { guard.SetConfirmation(g.reachesReplicas) })
	}
	g.requestsCtx, g.cancelRequests = context.WithCancel(context.Background())
	var err error
	g.metrics, err = newInstruments(meter, g)
	return g, eris.Wrap(err, "metrics")
}

const (
	// budgetUsableFraction is the fraction of the budget of all daemons that is used. The rest allows for sub-requests
	// that arrive at other times than they are sent.
	budgetUsableFraction = 0.9
	// quarantineDuration is how long a request that crashed replicas is refused the first time. It is refused for
	// quarantine.DefaultExpiry if it then still crashes them.
	quarantineDuration = time.Minute
	// fixedBudgetUsableFraction is the fraction of the fixed budget that is used: daemons learn with a delay how many
	// they are.
	fixedBudgetUsableFraction = 0.7
)

// Run applies each new view to the balancer and the budgets until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	var generation uint64
	for ctx.Err() == nil {
		view, changed := g.directory.View()
		now := time.Now()
		if view.Generation != generation {
			generation = view.Generation
			g.balancer.SetServers(view.Servers, now)
		}
		g.balancer.SetEvacuated(view.Evacuations.DataCentres, now)
		g.helpers.SetView(&view)
		g.setShares(newShares(view, g.opts.Self))
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// setShares applies the shares of a view. The budget of a service exists from the first view that names the service.
func (g *Gateway) setShares(s *shares) {
	now := time.Now()
	g.balancer.SetConnectionShares(s.connections)
	g.balancer.SetRequestShares(s.requestFraction, now)
	g.mu.Lock()
	if g.daemonsKnownSince.IsZero() && s.daemonsKnown {
		g.daemonsKnownSince = now
	}
	permitsFrom := g.daemonsKnownSince.Add(warmupSettleTime)
	g.mu.Unlock()
	g.balancer.SetWarmupLimits(func(server balancer.Server) balancer.WarmupLimit {
		return s.warmupLimit(server, g.opts.WarmupOverage, g.opts.WarmupSlack, permitsFrom)
	}, now)
	g.quarantines.each(func(guard *quarantine.Guard) { guard.SetFleet(g.opts.Node, s.daemons) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares = s
	for service := range s.limits {
		g.ensureBudget(service)
	}
	for service, b := range g.budgets {
		b.fraction.Set(s.fraction(service), now)
	}
}

// needsRelay reports whether requests to a service should go through a helper: this daemon keeps no idle connections to
// its replicas and helpers do.
func (g *Gateway) needsRelay(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shares.needsRelay(service)
}

// Ready reports whether the gateway accepts requests.
func (g *Gateway) Ready() bool {
	view, _ := g.directory.View()
	return view.IsComplete() && !g.stopping.Load()
}

// RejectDelegated makes the gateway refuse queries of other daemons, which have other helpers. Requests that come
// directly from callers are still served.
func (g *Gateway) RejectDelegated() { g.rejectDelegated.Store(true) }

// RejectNew makes the gateway refuse new requests.
func (g *Gateway) RejectNew() { g.stopping.Store(true) }

// CancelInFlight cancels the attempts of all requests in flight, so that these are answered immediately.
func (g *Gateway) CancelInFlight() { g.cancelRequests() }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// retryAfterStartup is the Retry-After while the daemon loads the configuration, which takes two calls to the store: 20
// to 60 ms after the process starts.
const retryAfterStartup = 100 * time.Millisecond

// answerReserve is how long before the caller's deadline the final answer is sent: a few milliseconds for the network
// and for the CPU of a busy VM. An answer sent at the deadline arrives too late to be of use. The reserve is at
// most half of the caller's timeout.
const answerReserve = 15 * time.Millisecond

// Limits returns the operator's limits on requests; ok is false while no configuration is known.
func (g *Gateway) Limits() (limits routing.Limits, ok bool) {
	view, _ := g.directory.View()
	if view.Table == nil {
		return routing.Limits{}, false
	}
	return view.Table.Config().Limits, true
}

// ServeCaller answers a request that came directly from a caller, as Serve does. It refuses the request if its answer would probably not
// fit into the memory for answers that wait for their callers. written must be called once the reply has been written or dropped.
func (g *Gateway) ServeCaller(ctx context.Context, request *Request) (reply Reply, written func()) {
	reservation, ok := g.answers.Reserve(g.routeName(request))
	if !ok {
		reply = errorReply(api.Overloaded, g.overloadRetryAfter(), "answers that wait for their callers use the memory for them")
		g.report(ctx, request, reply, nil)
		return reply, func() {}
	}
	reply = g.Serve(ctx, request)
	reservation.Resize(reply.bodyBytes())
	return reply, reservation.Release
}

// routeName returns the name of the route of a request, empty if it has none.
func (g *Gateway) routeName(request *Request) string {
	view, _ := g.directory.View()
	if view.Table == nil {
		return ""
	}
	if route := view.Table.Match(request.Host, request.Path); route != nil {
		return route.Name
	}
	return ""
}

// Serve answers a request. The end of ctx means that the caller disconnected.
func (g *Gateway) Serve(ctx context.Context, request *Request) Reply {
	view, _ := g.directory.View()
	return g.serveWithView(ctx, request, view)
}

// serveWithView answers a request with the given view.
func (g *Gateway) serveWithView(ctx context.Context, request *Request, view topology.View) (result Reply) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer func() {
		if p := recover(); p != nil {
			err := g.recordPanic(p, panicInRequest, request.ID)
			result = Reply{Err: api.Wrap(api.Internal, err, "the request could not be answered")}
		}
	}()
	reply, r := g.serve(ctx, request, view)
	g.report(ctx, request, reply, r)
	return reply
}

// serve returns the reply and, once a route has matched and the request was admitted, its run.
func (g *Gateway) serve(ctx context.Context, request *Request, view topology.View) (reply Reply, last *run) {
	if !view.IsComplete() {
		return errorReply(api.NoConfiguration, retryAfterStartup, "this daemon has no configuration yet"), nil
	}
	if g.stopping.Load() {
		return errorReply(api.Stopping, 0, "this daemon is stopping"), nil
	}
	if request.ID == "" {
		return Reply{Err: api.Errorf(api.BadRequest, "the request has no identifier")}, nil
	}
	route := view.Table.Match(request.Host, request.Path)
	if route == nil {
		return Reply{Err: api.Errorf(api.NoRoute, "no route for host %q and path %q in version %d", request.Host,
			request.Path, view.Table.Version())}, nil
	}
	timeout := route.Timeout
	if request.CallerTimeout > 0 {
		timeout = min(timeout, max(request.CallerTimeout/2, request.CallerTimeout-answerReserve))
	}
	account, regions, accountErr := authenticate(view.Table, route, request)
	if accountErr != nil {
		return Reply{Err: accountErr}, nil
	}
	caller := ctx
	if route.Safety == routing.AtMostOnce {
		// What a replica executes continues after the caller has disconnected; the gate ends the rest.
		ctx = context.WithoutCancel(ctx)
	}
	gate, ctx := dispatch.NewGate(ctx, caller)
	defer gate.Release()
	ctx, cancel := context.WithDeadline(ctx, request.Received.Add(timeout))
	defer cancel()
	stop := context.AfterFunc(g.requestsCtx, cancel)
	defer stop()
	release, refusal := g.acquirePermit(ctx, request, account)
	if refusal != nil {
		return Reply{Err: refusal}, nil
	}
	defer func() { release(reply) }()
	kind := quarantine.Order
	if route.IsQuery() {
		kind = quarantine.Search
	}
	ctx, quarantineRun, err := g.quarantines.admit(ctx, request, kind)
	if err != nil {
		return quarantinedReply(err), nil
	}
	defer func() {
		quarantineRun.Done()
		for _, summary := range quarantineRun.Summaries() {
			g.reportLosses(request, summary)
		}
	}()
	r := &run{gateway: g, request: request, route: route, regions: regions, view: &view, gate: gate, quarantineRun: quarantineRun}
	return r.serveOrPassOn(ctx)
}

// Notices returns the notices of requests that crash replicas that are in force.
func (g *Gateway) Notices() []quarantine.Notice {
	return append(g.quarantines.byRequest.Notices(), g.quarantines.byCaller.Notices()...)
}

// AddRemoteNotice adds a request that crashed replicas, as reported by another daemon.
func (g *Gateway) AddRemoteNotice(notice quarantine.Notice) {
	if g.quarantines.guardOf(notice.Fingerprint).AddRemoteNotice(notice) {
		g.log.Info(eventlog.RequestCrashing, zap.String("fingerprint", notice.Fingerprint), zap.Time("until", notice.Until),
			zap.String("from", "another daemon"))
	}
}

// quarantinedReply returns the refusal of a request that crashes replicas.
func quarantinedReply(err error) Reply {
	refusal := api.Wrap(api.Quarantined, err, "the request crashed replicas")
	var cause *api.Error
	if errors.As(err, &cause) {
		refusal.RetryAfter = cause.RetryAfter
	}
	return Reply{Err: refusal}
}

// AddRemoteObservations adds what other daemons have observed of requests that may crash replicas.
func (g *Gateway) AddRemoteObservations(observations []quarantine.Observation) {
	for _, o := range observations {
		g.quarantines.guardOf(o.Fingerprint).AddObservations([]quarantine.Observation{o})
	}
}

func errorReply(kind api.Kind, retryAfter time.Duration, message string) Reply {
	err := api.Errorf(kind, "%s", message)
	err.RetryAfter = retryAfter
	return Reply{Err: err}
}
