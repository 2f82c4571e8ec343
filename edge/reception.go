package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/internal/connlimit"
	"github.com/chivemill/chivemill/internal/reception"
)

// The shares of the process's memory and descriptors below leave room for the answers (a quarter of the memory), for the bodies of
// replicas and helpers (a sixteenth each), and for what the daemon knows of the fleet.
const (
	// receptionMemoryShare is the share of the memory for the requests of callers, and again for those of other daemons.
	receptionMemoryShare = 1.0 / 8
	// callerConnectionShare and internalConnectionShare are the shares of the memory for connections, and connectionBytes what one takes:
	// the buffers of net/http (2 x 4 KiB), the stacks of its goroutine and of the one that watches for the caller's end, the connection
	// itself, and 4 KiB of a body that its budget always admits.
	callerConnectionShare   = 1.0 / 6
	internalConnectionShare = 1.0 / 8
	connectionBytes         = 28 << 10
	// fileDescriptors is the number of descriptors that the platform sets aside for files. Of the rest, callers' connections may use
	// callerDescriptorShare and those of daemons, load balancers and metrics internalDescriptorShare; the daemon's own connections need the rest.
	fileDescriptors         = 200
	callerDescriptorShare   = 1.0 / 2
	internalDescriptorShare = 1.0 / 4
	// minConnections is the least number of connections, for settings with very few descriptors.
	minConnections = 16
	// callerCopies is how often a caller's body is in memory: it is passed on as it is.
	callerCopies = 1
	// messageCopies is how often a message between daemons is in memory while it is decoded: the message, the decoder's buffer, which
	// doubles as it grows, and the decoded body.
	messageCopies = 4
	// maxMessageMemoryShare limits a single message.
	maxMessageMemoryShare = 1.0 / 8
	// receptionLogInterval is the least time between two lines of eventlog.ReceptionLimited.
	receptionLogInterval = time.Second
)

// listenerReception holds the limits on what the listeners of a port receive together. It is safe for concurrent use.
type listenerReception struct {
	port        string
	connections *reception.Connections
	budget      *reception.Budget
	bodies      *reception.Receiver
	log         *zap.Logger
	limited     metric.Int64Counter
	// limitedCount counts what the limits ended, lastLogged is the time of the last log line in Unix nanoseconds.
	limitedCount, lastLogged atomic.Int64
}

// newReceptions creates the limits for callers and for the internal ports, and registers their metrics.
func (d *Daemon) newReceptions(meter metric.Meter) error {
	limited, err := meter.Int64Counter("chivemill_reception_limited",
		metric.WithDescription("Requests and connections ended by a limit of reception before they ran, by port (callers or internal) and reason."))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	create := func(port string, maxConnections int, copies int64) *listenerReception {
		l := &listenerReception{
			port: port, connections: reception.NewConnections(maxConnections), log: d.log.Logger, limited: limited,
			budget: reception.NewBudget(int64(receptionMemoryShare * float64(d.settings.MemoryBytes))),
		}
		l.bodies = reception.NewReceiver(l.budget, copies, connlimit.Of, l.observe)
		return l
	}
	callers, internal := maxConnections(d.settings.MemoryBytes, d.settings.MaxDescriptors)
	d.callerReception, d.internalReception = create("callers", callers, callerCopies), create("internal", internal, messageCopies)
	gauge := func(name, help string, read func(*listenerReception) int64) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				for _, l := range []*listenerReception{d.callerReception, d.internalReception} {
					o.Observe(read(l), metric.WithAttributes(attribute.String("port", l.port)))
				}
				return nil
			}))
		return err
	}
	return eris.Wrap(errors.Join(
		gauge("chivemill_reception_held_bytes", "Bytes reserved for requests from their reception until they are answered, by port.",
			func(l *listenerReception) int64 { return l.budget.Held() }),
		gauge("chivemill_reception_connections", "Open connections by port: callers or internal.",
			func(l *listenerReception) int64 { return int64(l.connections.Open()) }),
	), "metrics")
}

// maxConnections returns the limits on callers' connections and on internal ones for a process with a memory limit in bytes and a limit
// of descriptors, 0 for none.
func maxConnections(memoryBytes int64, maxDescriptors int) (callers, internal int) {
	callers = int(callerConnectionShare * float64(memoryBytes) / connectionBytes)
	internal = int(internalConnectionShare * float64(memoryBytes) / connectionBytes)
	if maxDescriptors > 0 {
		forConnections := float64(max(0, maxDescriptors-fileDescriptors))
		callers = min(callers, int(callerDescriptorShare*forConnections))
		internal = min(internal, int(internalDescriptorShare*forConnections))
	}
	return max(minConnections, callers), max(minConnections, internal)
}

// maxMessageBytes returns the maximum size of a message from another daemon.
func (d *Daemon) maxMessageBytes() int64 {
	return min(delegation.MaxMessageBytes, int64(maxMessageMemoryShare*float64(d.settings.MemoryBytes)))
}

func (l *listenerReception) guard() connlimit.Guard {
	return connlimit.Guard{Connections: l.connections, Headers: l.budget, Observe: l.observe}
}

// observe counts and logs a request or connection that a limit ended.
func (l *listenerReception) observe(reason reception.Reason, address string) {
	l.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("port", l.port), attribute.String("reason", string(reason))))
	total := l.limitedCount.Add(1)
	now, last := time.Now().UnixNano(), l.lastLogged.Load()
	if now-last < int64(receptionLogInterval) || !l.lastLogged.CompareAndSwap(last, now) {
		return
	}
	l.log.Warn(eventlog.ReceptionLimited, zap.String("port", l.port), zap.String("reason", string(reason)), zap.String("address", address),
		zap.Int64("limited", total), zap.Int64("held_bytes", l.budget.Held()), zap.Int("connections", l.connections.Open()))
}
