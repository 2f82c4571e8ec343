package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/gateway"
	"github.com/chivemill/chivemill/topology"
)

// replicaReports passes what replicas state about themselves to the balancer and logs their request limits. It is safe for
// concurrent use.
type replicaReports struct {
	*balancer.Balancer
	gateway *gateway.Gateway
	log     *zap.Logger
}

// ReportOpen implements platform.ReplicaReports.
func (r *replicaReports) ReportOpen(id string, err error, now time.Time) {
	r.gateway.ReportOpen(id, err, now)
}

// ReportLeaving implements platform.ReplicaReports.
func (r *replicaReports) ReportLeaving(id string, startedAtMs int64, now time.Time) {
	if r.Balancer.ReportLeaving(id, startedAtMs, now) {
		r.log.Info(eventlog.ReplicaLeaving, zap.String("replica", id))
	}
}

// ReportWarmup implements platform.ReplicaReports.
func (r *replicaReports) ReportWarmup(id string, startedAtMs int64, left time.Duration, now time.Time) {
	if r.Balancer.ReportWarmup(id, startedAtMs, left, now) {
		r.log.Info(eventlog.ReplicaCold, zap.String("replica", id), zap.Int64("left_ms", left.Milliseconds()))
	}
}

// ReportLimit implements platform.ReplicaReports.
func (r *replicaReports) ReportLimit(id string, report balancer.LimitReport, now time.Time) {
	if report.Statement == balancer.LimitUnreadable {
		r.log.Warn(eventlog.ReplicaLimitUnusable, zap.String("replica", id))
	}
	event, ok := r.Balancer.ReportLimit(id, report, now)
	if !ok {
		return
	}
	r.log.Info(eventlog.ReplicaLimited, topology.LimitFields(event)...)
}
