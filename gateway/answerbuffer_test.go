package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/limit"
)

// TestRequestsAreRefusedWhileAnswersWait guards the memory of a daemon whose callers read large answers slowly: a request whose answer
// would not fit is refused before it is sent to a replica, with a time to return, and is accepted again once an answer is written.
func TestRequestsAreRefusedWhileAnswersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerBytes = 1 << 20
		g, f := newGateway(t)
		g.answers = limit.NewAnswerBuffer(4 * answerBytes)
		for _, id := range []string{"o-0", "o-1", "o-2"} {
			f.responses[id] = respondAfter(time.Millisecond, Answer{Status: 200, Body: make([]byte, answerBytes), Signature: id}, nil)
		}
		var waiting []func()
		for {
			before := len(f.sentTo())
			reply, written := g.ServeCaller(t.Context(), newRequest("/o/1"))
			if reply.Err != nil {
				must.Eq(t, api.Overloaded, reply.Err.Kind)
				must.Positive(t, reply.Err.RetryAfter)
				must.Len(t, before, f.sentTo())
				break
			}
			waiting = append(waiting, written)
		}
		must.Between(t, 3, len(waiting), 4)
		waiting[0]()
		reply, _ := g.ServeCaller(t.Context(), newRequest("/o/1"))
		must.Nil(t, reply.Err)
	})
}
