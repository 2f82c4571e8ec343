// Package ingress limits what the ports of a process receive: connections, headers, bodies and messages, within the memory and the
// descriptors of its VM. Callers and the internal ports have limits of their own, so that callers can't displace daemons or operators.
package ingress

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/internal/connlimit"
	"github.com/chivemill/chivemill/internal/reception"
)

// messageCopies is how often a message between daemons is in memory while it is decoded: the message, the decoder's buffer, which doubles
// as it grows, and the decoded body.
const messageCopies = 4

// logInterval is the least time between two lines of eventlog.ReceptionLimited of a port.
const logInterval = time.Second

// Options holds what the limits depend on.
type Options struct {
	Resources
	// CallerCopies is how often a caller's body is in memory while its request is received.
	CallerCopies int64
}

// Ports holds the limits of the two kinds of ports. It is safe for concurrent use.
type Ports struct {
	// Callers is for the callers' port, Internal for those of daemons, load balancers, operators and metrics together.
	Callers, Internal *Port
}

// NewPorts returns the limits and registers their metrics.
func NewPorts(opts Options, meter metric.Meter, log *zap.Logger) (Ports, error) {
	limited, err := meter.Int64Counter("chivemill_reception_limited",
		metric.WithDescription("Requests and connections ended by a limit of reception before they ran, by port (callers or internal) and reason."))
	if err != nil {
		return Ports{}, eris.Wrap(err, "metrics")
	}
	create := func(name string, connections int, copies int64) *Port {
		p := &Port{
			name: name, connections: reception.NewConnections(connections), budget: reception.NewBudget(opts.budgetBytes()),
			log: log, limited: limited,
		}
		p.bodies = reception.NewReceiver(p.budget, copies, connlimit.Of, p.observe)
		return p
	}
	callers, internal := opts.maxConnections()
	ports := Ports{Callers: create("callers", callers, opts.CallerCopies), Internal: create("internal", internal, messageCopies)}
	return ports, ports.registerGauges(meter)
}

func (p Ports) registerGauges(meter metric.Meter) error {
	gauge := func(name, help string, read func(*Port) int64) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				for _, port := range []*Port{p.Callers, p.Internal} {
					o.Observe(read(port), metric.WithAttributes(attribute.String("port", port.name)))
				}
				return nil
			}))
		return err
	}
	return eris.Wrap(errors.Join(
		gauge("chivemill_reception_held_bytes", "Bytes reserved for requests from their reception until they are answered, by port.",
			func(port *Port) int64 { return port.budget.Held() }),
		gauge("chivemill_reception_connections", "Open connections by port: callers or internal.",
			func(port *Port) int64 { return int64(port.connections.Open()) }),
	), "metrics")
}

// Port holds the limits on what the listeners of a kind of ports receive together. It is safe for concurrent use.
type Port struct {
	name        string
	connections *reception.Connections
	budget      *reception.Budget
	bodies      *reception.Receiver
	log         *zap.Logger
	limited     metric.Int64Counter
	// limitedCount counts what the limits ended, lastLogged is the time of the last log line in Unix nanoseconds.
	limitedCount, lastLogged atomic.Int64
}

// Bodies returns the receiver of request bodies.
func (p *Port) Bodies() *reception.Receiver { return p.bodies }

// Guard returns the limits for connections that package connlimit or peer watches.
func (p *Port) Guard() connlimit.Guard {
	return connlimit.Guard{Connections: p.connections, Memory: p.budget, Observe: p.observe}
}

// observe counts and logs a request or connection that a limit ended.
func (p *Port) observe(reason reception.Reason, address string) {
	p.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("port", p.name), attribute.String("reason", string(reason))))
	total := p.limitedCount.Add(1)
	now, last := time.Now().UnixNano(), p.lastLogged.Load()
	if now-last < int64(logInterval) || !p.lastLogged.CompareAndSwap(last, now) {
		return
	}
	p.log.Warn(eventlog.ReceptionLimited, zap.String("port", p.name), zap.String("reason", string(reason)), zap.String("address", address),
		zap.Int64("limited", total), zap.Int64("held_bytes", p.budget.Held()), zap.Int("connections", p.connections.Open()))
}
