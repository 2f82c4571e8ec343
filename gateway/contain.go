package gateway

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
)

// Places in which a panic is contained, in metrics and logs.
const (
	inRequest  = "request"
	inAttempt  = "attempt"
	inExchange = "exchange"
)

// contained counts and logs a recovered panic and returns it as an error. An unexpected value in one message must not end
// the process, which serves many others.
func (g *Gateway) contained(panicked any, where, request string) error {
	g.metrics.panics.Add(context.Background(), 1, g.metrics.label("where", where))
	g.log.Error(eventlog.PanicContained, zap.String("where", where), zap.String("request", request),
		zap.Any("panic", panicked), zap.Stack("stack"))
	return fmt.Errorf("panic: %v", panicked)
}
