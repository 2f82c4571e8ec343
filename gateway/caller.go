package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/scatter"
)

// callerWatch tells since when the caller of a request has left. It is safe for concurrent use.
type callerWatch struct {
	leftAt atomic.Pointer[time.Time]
}

// start watches ctx, which ends when the caller disconnects. The caller of start must call stop when the request has ended.
func (w *callerWatch) start(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		now := time.Now()
		w.leftAt.Store(&now)
	})
}

// left returns when the caller left; ok is false if it has not.
func (w *callerWatch) left() (at time.Time, ok bool) {
	if at := w.leftAt.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// recordLateAttempt reports an attempt that came to its dispatch after the caller had left; begin is when the attempt began.
func (r *run) recordLateAttempt(a scatter.Action, begin time.Time, sent bool) {
	leftAt, ok := r.caller.left()
	if !ok {
		return
	}
	g := r.gateway
	result := "withheld"
	if sent {
		result = "sent"
	}
	g.metrics.afterCallerLeft.Add(context.Background(), 1, g.metrics.label("result", result))
	now := time.Now()
	g.log.Info(eventlog.AttemptAfterCallerLeft, zap.String("request", r.request.ID), zap.String("replica", a.Replica),
		zap.Int("attempt", a.Attempt+1), zap.Bool("sent", sent), zap.Duration("since_left_ms", now.Sub(leftAt)),
		zap.Duration("since_begin_ms", now.Sub(begin)), zap.String("from", r.request.DelegatedBy))
}
