package hedge

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestQuotaRisesLateAndFallsAtOnce guards the order in which parts change hands.
func TestQuotaRisesLateAndFallsAtOnce(t *testing.T) {
	const hold = 10 * time.Second
	begin := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	q := NewQuota(hold)
	q.Set(0.5, at(0))
	must.Eq(t, 0, q.Part(at(9)), must.Sprint("a starting daemon has nothing"))
	must.Eq(t, 0.5, q.Part(at(10)))
	q.Set(0.1, at(11))
	must.Eq(t, 0.1, q.Part(at(11)))
	q.Set(0.4, at(12))
	q.Set(0.2, at(15))
	q.Set(0.4, at(16))
	must.Eq(t, 0.1, q.Part(at(21)))
	must.Eq(t, 0.2, q.Part(at(22)), must.Sprint("the least one of the hold"))
	must.Eq(t, 0.4, q.Part(at(32)))
}

// quotaDaemon is a daemon that uses all of its part as soon as it may.
type quotaDaemon struct {
	quota   *Quota
	window  *Window
	started time.Time
	ended   time.Time
	lag     time.Duration
}

// TestQuotasStayWithinTheWhole guards the fixed part of the fleet's budget while daemons start, end, restart and learn of
// each other with delays: all extra sub-requests of any span stay within it, although each daemon spends all that it has.
func TestQuotasStayWithinTheWhole(t *testing.T) {
	const (
		span  = 10 * time.Second
		step  = 250 * time.Millisecond
		fixed = 400.0
		// learnTime is how late a daemon learns of another's start, countTime how long an ended daemon still counts at
		// the least.
		learnTime = 6 * time.Second
		countTime = 8 * time.Second
		length    = 60 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1000, 0)
		var daemons []*quotaDaemon
		start := func(now time.Time) {
			daemons = append(daemons, &quotaDaemon{
				quota: NewQuota(span), window: NewWindow(span, 0, 0), started: now,
				lag: time.Duration(rapid.Int64Range(0, int64(learnTime)).Draw(t, "lag")),
			})
		}
		for range rapid.IntRange(1, 20).Draw(t, "daemons") {
			start(begin)
		}
		type spending struct {
			at time.Time
			n  int
		}
		var spent []spending
		for now := begin; now.Before(begin.Add(length)); now = now.Add(step) {
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				start(now)
			case 1:
				daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "ended")].end(now)
			case 2:
				for _, d := range daemons[:len(daemons)/2] {
					if d.ended.IsZero() {
						d.end(now)
						start(now)
					}
				}
			}
			n := 0
			for _, d := range daemons {
				if !d.ended.IsZero() {
					continue
				}
				counted := 0
				for _, other := range daemons {
					known := !now.Before(other.started.Add(d.lag))
					gone := !other.ended.IsZero() && !now.Before(other.ended.Add(countTime))
					if other == d || known && !gone {
						counted++
					}
				}
				d.quota.Set(1/float64(counted), now)
				d.window.SetFixed(fixed * d.quota.Part(now))
				for d.window.Take(now, 0) {
					n++
				}
			}
			spent = append(spent, spending{now, n})
			spent = slices.DeleteFunc(spent, func(s spending) bool { return now.Sub(s.at) >= span })
			sum := 0
			for _, s := range spent {
				sum += s.n
			}
			must.LessEq(t, fixed, float64(sum))
		}
	})
}

func (d *quotaDaemon) end(now time.Time) {
	if d.ended.IsZero() {
		d.ended = now
	}
}
