package gateway

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
)

// Values of the "where" label and log field of recovered panics.
const (
	panicInRequest    = "request"
	panicInAttempt    = "attempt"
	panicInDelegation = "exchange"
)

// recordPanic counts and logs a recovered panic and returns it as an error. An unexpected value in one message must not
// end the process, which serves many other requests.
func (g *Gateway) recordPanic(value any, where, request string) error {
	g.metrics.panics.Add(context.Background(), 1, g.metrics.label("where", where))
	g.log.Error(eventlog.PanicContained, zap.String("where", where), zap.String("request", request),
		zap.Any("panic", value), zap.Stack("stack"))
	return fmt.Errorf("panic: %v", value)
}
