package quota

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the averages of demand.
const rateTimeConstant = time.Second

// rate is an exponentially decaying average of events a second.
type rate struct {
	value float64
	at    time.Time
}

// add counts events.
func (r *rate) add(events float64, now time.Time) {
	r.value, r.at = r.get(now)+events/rateTimeConstant.Seconds(), now
}

// get returns the current average.
func (r *rate) get(now time.Time) float64 {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 || r.value == 0 {
		return r.value
	}
	return r.value * math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
}

// retryQueue counts the requests that were refused lately and are expected to come back, as if they were served at a rate. It is not a
// reservation: new requests compete with those that come back.
type retryQueue struct {
	length float64
	at     time.Time
}

// maxRetryAfter limits the Retry-After of a refused request, and with it the number of requests that count as refused lately: some of
// them are not repeated, so a long queue says little.
const maxRetryAfter = 5 * time.Second

// get returns the number of requests that are still expected to come back if perSecond of them are served.
func (q *retryQueue) get(perSecond float64, now time.Time) float64 {
	return max(0, q.length-perSecond*now.Sub(q.at).Seconds())
}

// add counts n refused requests.
func (q *retryQueue) add(n int, perSecond float64, now time.Time) {
	q.at, q.length = now, min(q.get(perSecond, now)+float64(n), perSecond*maxRetryAfter.Seconds())
}

// seconds returns a number of seconds as a duration of at most an hour.
func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }
