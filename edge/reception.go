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

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/internal/connlimit"
	"github.com/chivemill/chivemill/internal/reception"
)

// The shares of the process's memory and descriptors below leave room for the answers (a quarter of the memory), for the bodies of
// replicas and helpers (a sixteenth each), and for what the daemon knows of the fleet.
const (
	// receptionMemoryShare is the share of the memory for the requests of callers.
	receptionMemoryShare = 1.0 / 8
	// callerCopies is how often a caller's body is in memory: it is passed on as it is.
	callerCopies = 1
	// receptionLogInterval is the least time between two lines of eventlog.ReceptionLimited.
	receptionLogInterval = time.Second
)

// listenerReception holds the limits on what the listeners of a port receive together. It is safe for concurrent use.
type listenerReception struct {
	port    string
	budget  *reception.Budget
	bodies  *reception.Receiver
	log     *zap.Logger
	limited metric.Int64Counter
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
	l := &listenerReception{
		port: "callers", log: d.log.Logger, limited: limited,
		budget: reception.NewBudget(int64(receptionMemoryShare * float64(d.settings.MemoryBytes))),
	}
	l.bodies = reception.NewReceiver(l.budget, callerCopies, connlimit.Of, l.observe)
	d.callerReception = l
	gauge := func(name, help string, read func(*listenerReception) int64) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				for _, l := range []*listenerReception{d.callerReception} {
					o.Observe(read(l), metric.WithAttributes(attribute.String("port", l.port)))
				}
				return nil
			}))
		return err
	}
	return eris.Wrap(errors.Join(
		gauge("chivemill_reception_held_bytes", "Bytes reserved for requests from their reception until they are answered, by port.",
			func(l *listenerReception) int64 { return l.budget.Held() }),
	), "metrics")
}

func (l *listenerReception) guard() connlimit.Guard {
	return connlimit.Guard{Headers: l.budget, Observe: l.observe}
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
		zap.Int64("limited", total), zap.Int64("held_bytes", l.budget.Held()))
}
