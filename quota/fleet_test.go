package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var large = Quota{RatePerS: 71, Burst: 71}

const tenant = "a"

// sizes are the fleets of 7, 58 and 195 daemons in 6 data centres.
var sizes = map[string][]int{"7": {2, 1, 1, 1, 1, 1}, "58": {10, 10, 10, 10, 9, 9}, "195": {33, 33, 33, 32, 32, 32}}

// TestTenTimesTheUsualDemand guards the bound against an account that sends ten times its quota, through one daemon and through all,
// and the account against getting less than its quota then.
func TestTenTimesTheUsualDemand(t *testing.T) {
	for name, size := range sizes {
		for _, through := range []string{"one", "all"} {
			t.Run(name+"/"+through, func(t *testing.T) {
				n := newNetwork(t, map[string]Quota{tenant: large}, size...)
				pick := n.any()
				if through == "one" {
					pick = only(n.members["c1"][0])
				}
				n.load(tenant, 710, 20*time.Second, pick)
				n.run(5 * time.Second)
				n.resetTotals()
				n.run(16 * time.Second)
				n.checkBound(tenant, large)
				n.checkAdmitted(tenant, 0.95)
			})
		}
	}
}

// TestCalmDemandIsAdmitted guards callers within their quota: where the requests arrive must not matter, also if that changes.
func TestCalmDemandIsAdmitted(t *testing.T) {
	for name, size := range sizes {
		for _, q := range []Quota{large, {RatePerS: 1, Burst: 1}, {RatePerS: 1, Burst: 5}, {RatePerS: 8, Burst: 8}, {RatePerS: 300, Burst: 100}} {
			for _, demand := range []float64{0.5, 0.9} {
				for _, through := range []string{"all", "moving"} {
					t.Run(fmt.Sprintf("%s/%v/%v/%v/%s", name, q.RatePerS, q.Burst, demand, through), func(t *testing.T) {
						n := newNetwork(t, map[string]Quota{tenant: q}, size...)
						pick := n.any()
						if through == "moving" {
							pick = n.moving(2 * time.Second)
						}
						// Small quotas need a long time for a meaningful fraction, large ones many events a second.
						span := min(max(time.Duration(3000/q.RatePerS)*time.Second, 60*time.Second), 300*time.Second)
						n.load(tenant, demand*q.RatePerS, 400*time.Second, pick)
						// The pools start nearly empty.
						n.run(60 * time.Second)
						n.resetTotals()
						n.run(span)
						n.checkBound(tenant, q)
						n.checkAdmitted(tenant, 0.98)
					})
				}
			}
		}
	}
}

// moving returns a function that picks one daemon for a time span, then another one.
func (n *network) moving(span time.Duration) func() *member {
	next, current := n.any(), (*member)(nil)
	var until time.Time
	return func() *member {
		if !n.now.Before(until) || current.isDown {
			current, until = next(), n.now.Add(span)
		}
		return current
	}
}

// third returns a third of the daemons, readers among them.
func (n *network) third() map[*member]bool {
	cut := make(map[*member]bool)
	for i, c := range n.centres {
		for k, m := range n.members[c] {
			if (i+k)%3 == 0 {
				cut[m] = true
			}
		}
	}
	return cut
}

// TestPartitionKeepsTheBound guards the sum against two sides that cannot reach each other and both serve, with the readers where they were
// and with new readers in the majority.
func TestPartitionKeepsTheBound(t *testing.T) {
	for name, size := range sizes {
		for _, elects := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", name, elects), func(t *testing.T) {
				n := newNetwork(t, map[string]Quota{tenant: large}, size...)
				n.load(tenant, 710, 60*time.Second, n.any())
				n.run(10 * time.Second)
				cut := n.third()
				n.isCut = func(a, b *member) bool { return cut[a] != cut[b] }
				if elects {
					n.run(4 * time.Second)
					n.electWithout(cut)
				}
				n.run(15 * time.Second)
				n.isCut = func(_, _ *member) bool { return false }
				n.run(3 * time.Second)
				n.publishWithin(2 * time.Second)
				n.run(15 * time.Second)
				n.checkBound(tenant, large)
			})
		}
	}
}

// TestMassRestartGrantsNoBurst guards the bound against restarts of all daemons, which must not make the burst available again.
func TestMassRestartGrantsNoBurst(t *testing.T) {
	for name, size := range sizes {
		for _, q := range []Quota{large, {RatePerS: 1, Burst: 20}} {
			t.Run(fmt.Sprintf("%s/%v", name, q.RatePerS), func(t *testing.T) {
				n := newNetwork(t, map[string]Quota{tenant: q}, size...)
				n.run(30 * time.Second)
				n.load(tenant, 10*q.RatePerS+50, 60*time.Second, n.any())
				n.run(500 * time.Millisecond)
				for range 3 {
					for _, c := range n.centres {
						for _, m := range n.members[c] {
							n.start(m)
						}
					}
					n.run(500 * time.Millisecond)
					n.publishWithin(time.Second)
					n.run(1500 * time.Millisecond)
				}
				n.run(10 * time.Second)
				n.checkBound(tenant, q)
			})
		}
	}
}

// TestDaemonsComeAndGo guards the bound and calm callers against daemons that are added and removed, readers among them, while others learn
// of it up to 3 s later.
func TestDaemonsComeAndGo(t *testing.T) {
	// A new reader's pool refills at half its share for some seconds, and each change makes another daemon the reader.
	for demand, least := range map[float64]float64{0.8: 0.98, 10: 0.85} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			n := newNetwork(t, map[string]Quota{tenant: large}, 10, 10, 10, 10, 9, 9)
			n.load(tenant, demand*large.RatePerS, 120*time.Second, n.any())
			n.run(10 * time.Second)
			n.resetTotals()
			for i := range 10 {
				centre := n.centres[i%len(n.centres)]
				for k := range 5 {
					n.addMember(centre, 100+10*i+k)
				}
				n.publishWithin(3 * time.Second)
				n.run(4 * time.Second)
				for _, m := range n.members[centre][:3] {
					m.isDown = true
				}
				n.publishWithin(3 * time.Second)
				n.run(4 * time.Second)
				for _, m := range n.members[centre][:3] {
					n.start(m)
				}
				n.publishWithin(time.Second)
			}
			n.run(5 * time.Second)
			n.checkBound(tenant, large)
			n.checkAdmitted(tenant, least)
		})
	}
}

// TestKilledReader guards callers and the bound while a data centre has no reader: its daemons ask the readers of others.
func TestKilledReader(t *testing.T) {
	n := newNetwork(t, map[string]Quota{tenant: large}, 10, 10, 10, 10, 9, 9)
	n.load(tenant, 0.7*large.RatePerS, 120*time.Second, n.any())
	n.run(10 * time.Second)
	n.resetTotals()
	n.members["c2"][0].isDown = true
	n.run(4 * time.Second)
	n.publishWithin(3 * time.Second)
	n.run(16 * time.Second)
	n.checkBound(tenant, large)
	n.checkAdmitted(tenant, 0.95)
}

// TestLoweredQuota guards against the old quota in force longer than one window after all daemons have the version.
func TestLoweredQuota(t *testing.T) {
	n := newNetwork(t, map[string]Quota{tenant: large}, 10, 10, 10, 10, 9, 9)
	n.load(tenant, 200, 60*time.Second, n.any())
	n.run(10 * time.Second)
	lower := Quota{RatePerS: 10, Burst: 5}
	n.quotas = map[string]Quota{tenant: lower}
	n.publishWithin(3 * time.Second)
	n.run(3 * time.Second)
	n.checkBound(tenant, large)
	n.admitted[tenant] = nil
	n.run(20 * time.Second)
	n.checkBound(tenant, lower)
}

// TestLostDatagrams guards the bound and callers within their quota against datagrams that are lost or arrive twice.
func TestLostDatagrams(t *testing.T) {
	for _, c := range []struct {
		loss, duplicates, demand, least float64
	}{{0.01, 0.01, 0.8, 0.98}, {0.1, 0.1, 0.8, 0.95}, {0.1, 0.1, 10, 0.8}, {0.3, 0.3, 10, 0.5}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			n := newNetwork(t, map[string]Quota{tenant: large}, 10, 10, 10, 10, 9, 9)
			n.loss, n.duplicates = c.loss, c.duplicates
			n.load(tenant, c.demand*large.RatePerS, 60*time.Second, n.any())
			n.run(10 * time.Second)
			n.resetTotals()
			n.run(30 * time.Second)
			n.checkBound(tenant, large)
			n.checkAdmitted(tenant, c.least)
		})
	}
}

// TestNoReaders guards the bound while no daemon holds a pool, and that the local allowances are then used.
func TestNoReaders(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, map[string]Quota{tenant: large}, size...)
			for _, c := range n.centres {
				for _, m := range n.members[c] {
					m.Update(n.fleet(c), n.quotas, "", false, n.now)
				}
			}
			n.load(tenant, 710, 30*time.Second, n.any())
			n.run(30 * time.Second)
			room := n.bounds.room(large)
			most := n.mostInWindow(tenant)
			t.Logf("at most %d requests in a window, room %.1f", most, room)
			must.Positive(t, most)
			must.LessEq(t, 0.5*room, float64(most))
		})
	}
}

// TestRarelySeenAccountWaitsOneRoundTrip guards the latency of accounts whose permits no client holds.
func TestRarelySeenAccountWaitsOneRoundTrip(t *testing.T) {
	quotas := make(map[string]Quota)
	for i := range 60 {
		quotas[fmt.Sprint("a", i)] = Quota{RatePerS: 2, Burst: 4}
	}
	n := newNetwork(t, quotas, 10, 10, 10, 10, 9, 9)
	n.run(10 * time.Second)
	for account := range maps.Keys(quotas) {
		n.request(n.any()(), account)
		n.run(100 * time.Millisecond)
	}
	must.Len(t, len(quotas), n.waits)
	for _, wait := range n.waits {
		must.LessEq(t, 2*time.Millisecond, wait)
	}
}

// TestRetryAfterIsTrue guards callers that come back at the time they were told: they must not be refused again and again, and must not be
// told to wait much longer than the quota requires.
func TestRetryAfterIsTrue(t *testing.T) {
	for _, q := range []Quota{{RatePerS: 1, Burst: 1}, {RatePerS: 8, Burst: 8}, large} {
		for _, through := range []string{"one", "all"} {
			t.Run(fmt.Sprintf("%v/%s", q.RatePerS, through), func(t *testing.T) {
				n := newNetwork(t, map[string]Quota{tenant: q}, 10, 10, 10, 10, 9, 9)
				n.run(30 * time.Second)
				pick := n.any()
				if through == "one" {
					pick = only(n.members["c1"][3])
				}
				// Three seconds' worth of requests beyond the burst arrive at once.
				var retries, refusedAgain int
				var last time.Time
				begin := n.now
				var attempt func(first bool)
				attempt = func(first bool) {
					m := pick()
					n.requestThen(m, tenant, func(d Decision) {
						if !first {
							retries++
						}
						if d.Admitted {
							last = n.now
							return
						}
						if !first {
							refusedAgain++
						}
						n.after(d.RetryAfter, func() { attempt(false) })
					})
				}
				callers := int(q.Burst + 3*q.RatePerS)
				for range callers {
					n.after(time.Duration(n.random.Int64N(int64(200*time.Millisecond))), func() { attempt(true) })
				}
				n.run(60 * time.Second)
				t.Logf("%d callers, %d retries, %d refused again, all served after %v", callers, retries, refusedAgain, last.Sub(begin))
				must.Eq(t, callers, n.totals[tenant].admitted)
				must.LessEq(t, 0.25*float64(callers)+2, float64(refusedAgain))
				must.LessEq(t, 6*time.Second, last.Sub(begin))
				n.checkBound(tenant, q)
			})
		}
	}
}

// TestMessagesPerDaemon guards the network and the readers against a number of messages that grows with the fleet. The load is that of an
// ordinary day: 1.4 requests a second for each daemon, 71 accounts of which four have 12 % of the requests each, quotas of three times the
// usual demand, through all daemons. On a hot day, one large account sends ten times its quota. The logged figures are in docs/CAPACITY.md.
func TestMessagesPerDaemon(t *testing.T) {
	fleets := map[string][]int{"7": sizes["7"], "58": sizes["58"], "195": sizes["195"], "1400": {175, 175, 175, 175, 175, 175, 175, 175}}
	for _, name := range []string{"7", "58", "195", "1400"} {
		for _, isHot := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", name, isHot), func(t *testing.T) {
				daemons := 0
				for _, size := range fleets[name] {
					daemons += size
				}
				total := 1.4 * float64(daemons)
				quotas, demands := make(map[string]Quota), make(map[string]float64)
				for i := range 71 {
					account := fmt.Sprintf("account-%02d", i)
					demands[account] = total * 0.52 / 67
					if i < 4 {
						demands[account] = total * 0.12
					}
					quotas[account] = Quota{RatePerS: max(1, 3*demands[account]), Burst: max(1, 3*demands[account])}
				}
				if isHot {
					demands["account-00"] = 10 * quotas["account-00"].RatePerS
				}
				n := newNetwork(t, quotas, fleets[name]...)
				for i := range 71 {
					account := fmt.Sprintf("account-%02d", i)
					n.load(account, demands[account], time.Minute, n.any())
				}
				n.run(6 * time.Second)
				n.resetTotals()
				const span = 4
				n.run(span * time.Second)
				var admitted, owed int
				for _, sum := range n.totals {
					admitted, owed = admitted+sum.admitted, owed+sum.owed
				}
				reader := 0
				for _, c := range n.centres {
					reader = max(reader, n.sentBy[n.members[c][0]])
				}
				slices.Sort(n.waits)
				perDaemon := float64(n.datagrams) / span / float64(daemons)
				t.Logf("%s VMs, hot %v: %.0f datagrams/s (%.2f a VM), %.0f B/s (%.0f a VM), %.0f/s between data centres, busiest reader sends %.0f/s; "+
					"admitted %d of %d owed; waits: median %v, 0.99 %v", name, isHot, float64(n.datagrams)/span, perDaemon, float64(n.bytes)/span,
					float64(n.bytes)/span/float64(daemons), float64(n.remote)/span, float64(reader)/span, admitted, owed, n.waits[len(n.waits)/2],
					n.waits[len(n.waits)*99/100])
				if !isHot {
					must.LessEq(t, 10, perDaemon)
				}
				// An eighth of what a daemon may spend on control messages: 12 KB/s.
				must.LessEq(t, 1500*float64(daemons)*span, float64(n.bytes))
			})
		}
	}
}
