package quota

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/account"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/topology"
)

const (
	// maxDatagramBytes limits a received datagram.
	maxDatagramBytes = 16 << 10
	// roleInterval is the time between two checks of who holds the reader role, while an account has a quota.
	roleInterval = 200 * time.Millisecond
	// socketRetryPause is the pause after the socket failed to open or to be read.
	socketRetryPause = time.Second
)

// ReaderSource tells the reader of this data centre. Implementations are safe for concurrent use.
type ReaderSource interface {
	CentreReader() (address string, isSelf bool)
}

// Options configures an exchange.
type Options struct {
	Bounds Bounds
	// Node is the name of this daemon, DataCentre its data centre. Address is its UDP address for the exchange; all daemons use the same
	// port.
	Node, DataCentre, Address string
	// DataCentres is the number of configured data centres, 0 if unknown.
	DataCentres int
	// Distance returns a number that grows with the distance to a data centre.
	Distance func(dataCentre string) int
}

// Exchange obtains permits for the requests of this daemon, and grants permits to others while this daemon is the reader of its data
// centre. It is safe for concurrent use.
type Exchange struct {
	opts      Options
	directory *topology.Directory
	reader    ReaderSource
	log       *zap.Logger
	metrics   *instruments
	host      string
	port      uint16

	mu   sync.Mutex
	node *Node
	// conn is nil while the socket is closed.
	conn *net.UDPConn
	// waiting holds the requests that wait for decisions. early holds decisions that the node made while Acquire was still being called,
	// which happens if the pool is on this daemon.
	waiting map[Ticket]chan Decision
	early   map[Ticket]Decision
	timer   *time.Timer
	// timerAt is when the timer fires, zero if it is not set.
	timerAt time.Time
	// applied identifies the last update of the node.
	applied   nodeUpdate
	decisions map[Reason]int64
	datagrams struct{ sent, sentBytes, received int64 }
}

// nodeUpdate identifies the configuration and the state of the fleet that a node was updated with.
type nodeUpdate struct {
	version     int64
	dataCentres uint64
	reader      string
	isReader    bool
}

// Permit allows one request to be sent to replicas. The zero value is the permit of an account without a quota.
type Permit struct {
	exchange *Exchange
	account  string
	decision Decision
}

// NewExchange returns an exchange that has not opened its socket. It returns an error if the address is invalid or a metric cannot be
// registered.
func NewExchange(opts Options, directory *topology.Directory, reader ReaderSource, meter metric.Meter, log *zap.Logger) (*Exchange, error) {
	address, err := netip.ParseAddrPort(opts.Address)
	if err != nil {
		return nil, eris.Wrap(err, "quota address")
	}
	e := &Exchange{opts: opts, directory: directory, reader: reader, log: log, host: address.Addr().String(), port: address.Port(),
		waiting: make(map[Ticket]chan Decision), early: make(map[Ticket]Decision), decisions: make(map[Reason]int64)}
	e.node = NewNode(opts.Bounds, opts.Node, e.host, rand.Uint64()>>16, e.complete)
	e.timer = time.AfterFunc(time.Hour, e.tick)
	e.timer.Stop()
	e.metrics, err = newInstruments(meter, e)
	return e, eris.Wrap(err, "metrics")
}

// complete implements the callback of Node. The caller holds the lock.
func (e *Exchange) complete(t Ticket, d Decision) {
	if decided := e.waiting[t]; decided != nil {
		delete(e.waiting, t)
		decided <- d
		return
	}
	e.early[t] = d
}

// Acquire returns a permit for one request of an account, or refuses the request and returns when it can probably be served. It
// waits up to maxWait. An account without a quota gets a permit at once.
func (e *Exchange) Acquire(ctx context.Context, a *account.Account) (permit Permit, retryAfter time.Duration, ok bool) {
	if a == nil || !a.HasQuota() {
		return Permit{}, 0, true
	}
	now := time.Now()
	d, ticket, decision := e.beginAcquire(a, now)
	if decision != nil {
		select {
		case d = <-decision:
		case <-ctx.Done():
			d = e.cancel(a.Name, ticket, decision)
		}
		e.metrics.recordWait(time.Since(now))
	}
	e.count(d.Reason)
	if !d.Admitted {
		return Permit{}, d.RetryAfter, false
	}
	return Permit{exchange: e, account: a.Name, decision: d}, 0, true
}

// beginAcquire asks the node for a decision about a request. If there is none yet, it returns the channel that will receive it, otherwise
// a nil channel.
func (e *Exchange) beginAcquire(a *account.Account, now time.Time) (d Decision, ticket Ticket, decision chan Decision) {
	e.mu.Lock()
	defer e.unlockAndSend(now)
	d, ticket, decided := e.node.Acquire(a.Name, Of(a), now)
	if decided {
		return d, ticket, nil
	}
	if d, decided = e.early[ticket]; decided {
		delete(e.early, ticket)
		return d, ticket, nil
	}
	decision = make(chan Decision, 1)
	e.waiting[ticket] = decision
	return d, ticket, decision
}

// cancel ends the wait of a request whose caller has left or whose time is up.
func (e *Exchange) cancel(name string, t Ticket, decision chan Decision) Decision {
	now := time.Now()
	e.mu.Lock()
	delete(e.waiting, t)
	e.node.Cancel(name, t)
	select {
	case d := <-decision:
		if d.Admitted {
			e.node.Return(name, d, now)
		}
	default:
	}
	e.unlockAndSend(now)
	return Decision{Reason: Cancelled, RetryAfter: suspension}
}

func (e *Exchange) count(r Reason) {
	e.mu.Lock()
	e.decisions[r]++
	e.mu.Unlock()
}

// Return gives back the permit of a request that was not sent to any replica. It must be called at most once.
func (p Permit) Return() {
	if p.exchange == nil {
		return
	}
	now := time.Now()
	p.exchange.mu.Lock()
	p.exchange.node.Return(p.account, p.decision, now)
	p.exchange.unlockAndSend(now)
}

// tick processes what is due.
func (e *Exchange) tick() {
	now := time.Now()
	e.mu.Lock()
	e.timerAt = time.Time{}
	e.node.Tick(now)
	e.unlockAndSend(now)
}

// unlockAndSend sets the timer for what the node does next, releases the lock, and sends and logs what the node has produced.
func (e *Exchange) unlockAndSend(now time.Time) {
	if next := e.node.Next(); !next.IsZero() && (e.timerAt.IsZero() || next.Before(e.timerAt)) {
		e.timerAt = next
		e.timer.Reset(max(0, next.Sub(now)))
	}
	outgoing, conn := e.node.TakeOutgoing(), e.conn
	events := e.node.counts.Events
	e.node.counts.Events = nil
	e.mu.Unlock()
	for _, o := range outgoing {
		e.sendTo(conn, o)
	}
	for _, event := range events {
		e.logRefusals(event)
	}
}

// sendTo sends a message. An error is only logged, since the protocol tolerates lost datagrams.
func (e *Exchange) sendTo(conn *net.UDPConn, o Envelope) {
	host, err := netip.ParseAddr(o.Host)
	if err != nil || conn == nil {
		return
	}
	datagrams, err := o.Encode()
	for _, data := range datagrams {
		if _, writeErr := conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(host, e.port)); writeErr != nil {
			err = writeErr
			continue
		}
		e.mu.Lock()
		e.datagrams.sent++
		e.datagrams.sentBytes += int64(len(data))
		e.mu.Unlock()
	}
	if err != nil {
		e.log.Info(eventlog.PeerSilent, zap.String("address", o.Host), zap.Error(err))
	}
}

// logRefusals logs the beginning or the end of a series of refused requests.
func (e *Exchange) logRefusals(r Refusals) {
	fields := []zap.Field{zap.String("account", r.Account), zap.Float64("per_second", r.Quota.RatePerS), zap.Float64("burst", r.Quota.Burst),
		zap.String("reason", string(r.Reason))}
	if r.Ended {
		e.log.Info(eventlog.AccountWithinQuota, append(fields, zap.Int("refused", r.Refused), zap.Int("admitted", r.Admitted),
			zap.Duration("lasted_ms", r.last.Sub(r.Since)))...)
		return
	}
	e.log.Info(eventlog.AccountRefused, fields...)
}

// Run exchanges datagrams until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.followView(ctx) })
	for ctx.Err() == nil {
		err := e.receive(ctx)
		if ctx.Err() == nil {
			e.log.Warn(eventlog.QuotaSocketLost, zap.Error(err))
			select {
			case <-time.After(socketRetryPause):
			case <-ctx.Done():
			}
		}
	}
	wg.Wait()
	e.timer.Stop()
}

// receive opens the socket and processes datagrams until it fails or ctx is done.
func (e *Exchange) receive(ctx context.Context) error {
	address := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(e.opts.Address))
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	e.setConn(conn)
	defer e.setConn(nil)
	// Closing the socket ends a blocked read.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		e.handleDatagram(from.Addr().Unmap().String(), buf[:n])
	}
}

func (e *Exchange) setConn(conn *net.UDPConn) {
	e.mu.Lock()
	e.conn = conn
	e.mu.Unlock()
}

// handleDatagram processes a received message. An invalid one is logged.
func (e *Exchange) handleDatagram(from string, data []byte) {
	m, err := DecodeMessage(data)
	if err != nil {
		e.log.Warn(eventlog.DatagramUnusable, zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	now := time.Now()
	e.mu.Lock()
	e.datagrams.received++
	e.handle(from, &m, now)
	e.unlockAndSend(now)
}

// handle passes a message to the node. A panic is recovered, so that no datagram can terminate the process. The caller holds the lock.
func (e *Exchange) handle(from string, m *Message, now time.Time) {
	defer func() {
		if p := recover(); p != nil {
			e.log.Error(eventlog.PanicContained, zap.String("from", from), zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	e.node.Handle(from, m, now)
}

// followView updates the node when the view of the fleet or the reader changes.
func (e *Exchange) followView(ctx context.Context) {
	for ctx.Err() == nil {
		view, changed := e.directory.View()
		hasQuotas := e.update(&view)
		var roleCheck <-chan time.Time
		if hasQuotas {
			roleCheck = time.After(roleInterval)
		}
		select {
		case <-changed:
		case <-roleCheck:
		case <-ctx.Done():
		}
	}
}

// update tells the node what has changed, and reports whether any account has a quota.
func (e *Exchange) update(view *topology.View) (hasQuotas bool) {
	if view.Table == nil {
		return false
	}
	quotas := make(map[string]Quota)
	for _, a := range view.Table.Config().Accounts {
		quotas[a.Name] = Of(&a)
		hasQuotas = hasQuotas || a.HasQuota()
	}
	reader, isReader := e.reader.CentreReader()
	latest := nodeUpdate{version: view.Table.Version(), dataCentres: view.DataCentresHash, reader: reader, isReader: isReader}
	e.mu.Lock()
	defer e.mu.Unlock()
	if latest == e.applied {
		return hasQuotas
	}
	e.applied = latest
	e.node.Update(e.fleet(view), quotas, hostOf(reader), isReader, time.Now())
	return hasQuotas
}

// fleet returns the data centres of a view in the order in which this daemon asks their readers. Those at the same distance are in an order
// that differs between daemons.
func (e *Exchange) fleet(view *topology.View) *Fleet {
	f := &Fleet{Own: e.opts.DataCentre, Configured: e.opts.DataCentres}
	for name, c := range view.DataCentres {
		f.Centres = append(f.Centres, Centre{Name: name, Reader: hostOf(c.Reader), Daemons: c.Daemons})
	}
	order := func(c Centre) uint64 { return xxhash.Sum64String(e.opts.Node + "/" + c.Name) }
	distance := func(c Centre) int {
		if c.Name == f.Own {
			return -1
		}
		return e.opts.Distance(c.Name)
	}
	slices.SortFunc(f.Centres, func(a, b Centre) int {
		if d := distance(a) - distance(b); d != 0 {
			return d
		}
		if order(a) < order(b) {
			return -1
		}
		return 1
	})
	return f
}

// hostOf returns the host of an address, or the address if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
