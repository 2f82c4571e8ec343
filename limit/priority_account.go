package limit

import (
	"math"
	"slices"
	"time"
)

// An account whose demand is far beyond that of the other accounts of its rank is refused before them.
const (
	// minAccountDemand is the decaying count of queries below which an account is forgotten.
	minAccountDemand = 0.01
	// heavyFactor is how many times the mean demand of the other accounts of its rank makes an account a heavy one.
	heavyFactor = 2
	// heavyFloor is the least admitted share of a heavy account, as a fraction of the share admitted of all accounts of the rank.
	heavyFloor = 0.5
)

// accountKey identifies the queries of an account that have the same rank.
type accountKey struct {
	account string
	rank    int
}

// scaleForAccount counts a query of the account and scales its draw, so that accounts which take much more than the others of the same
// rank are refused first. The fraction refused of all queries stays the same; admitted is the fraction that is left to the class's
// throttle.
func (t *PriorityThrottle) scaleForAccount(key accountKey, s *classState, draw, admitted float64, load ClassLoad, now time.Time) float64 {
	if key.account == "" {
		return draw
	}
	own := t.countForAccount(key, now)
	refusedForLoad := s.throttle.refusedFraction(now)
	if admitted >= 1 && refusedForLoad == 0 {
		return draw
	}
	demands, sum := t.accountDemands(key.rank, now)
	if !hasHeavy(demands, sum) {
		return draw
	}
	if refusedForLoad > 0 && load.Saturated() {
		admitted *= 1 - refusedForLoad
	}
	if admitted >= 1 {
		return draw
	}
	refused := 1 - fairShare(own, fairLevel(demands, sum, admitted), admitted)
	if refused <= 0 {
		return 1
	}
	return min(1, draw*(1-admitted)/refused)
}

// countForAccount counts a query of an account and returns the account's demand.
func (t *PriorityThrottle) countForAccount(key accountKey, now time.Time) float64 {
	d := t.accounts[key]
	if d == nil {
		d = &demand{at: now}
		t.accounts[key] = d
	}
	d.decay(now)
	d.count++
	return d.count
}

// accountDemands returns the demands of all accounts of a rank in ascending order and their sum, and forgets accounts without recent
// queries.
func (t *PriorityThrottle) accountDemands(rank int, now time.Time) (demands []float64, sum float64) {
	for k, d := range t.accounts {
		if k.rank != rank {
			continue
		}
		if d.decay(now); d.count < minAccountDemand {
			delete(t.accounts, k)
			continue
		}
		demands = append(demands, d.count)
	}
	// Adding in a fixed order makes the sum independent of map iteration order.
	slices.Sort(demands)
	for _, d := range demands {
		sum += d
	}
	return demands, sum
}

// hasHeavy reports whether one of the accounts takes much more than the others. The margin of a few standard deviations keeps random
// variation from counting as such, since a daemon sees few queries of each account.
func hasHeavy(demands []float64, sum float64) bool {
	if len(demands) < 2 {
		return false
	}
	for _, d := range demands {
		mean := (sum - d) / float64(len(demands)-1)
		if d > heavyFactor*mean+4*math.Sqrt(mean)+4 {
			return true
		}
	}
	return false
}

// fairLevel returns the demand up to which accounts are admitted as a whole if the fraction admitted of their sum may run. It finds the
// level by bisection.
func fairLevel(demands []float64, sum, admitted float64) float64 {
	low, high := 0.0, sum
	for range 30 {
		level := (low + high) / 2
		total := 0.0
		for _, d := range demands {
			total += d * fairShare(d, level, admitted)
		}
		if total < admitted*sum {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// fairShare returns the share of an account's queries that are admitted, for the account's count of queries and the fair level.
func fairShare(count, level, admitted float64) float64 {
	return max(heavyFloor*admitted, min(1, level/count))
}
