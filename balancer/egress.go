package balancer

import (
	"strings"
	"time"

	"github.com/chivemill/chivemill/egress"
)

// EgressReason is why a request leaves the data centre.
type EgressReason string

// Values of EgressReason.
const (
	// StaysNear means that the request does not leave the data centre.
	StaysNear EgressReason = ""
	// EgressNoReplica means that no replica in the data centre can be used: there is none, or all are avoided, draining or
	// without room. EgressEvacuated means that there are some and the data centre is evacuated.
	EgressNoReplica EgressReason = "no_replica"
	EgressEvacuated EgressReason = "evacuated"
	// EgressExtra means a retry or a hedge.
	EgressExtra EgressReason = "extra"
	// EgressFaster means that a single replica elsewhere is expected to be faster. EgressShare means that the near replicas are
	// crowded and the request belongs to the share that leaves.
	EgressFaster EgressReason = "faster"
	EgressShare  EgressReason = "share"
)

// SetEgress sets the controller that decides which share of the requests leaves the data centre; nil leaves that to the
// comparison of single replicas. It must be called before the balancer is used.
func (b *Balancer) SetEgress(c *egress.Controller) { b.egress = c }

// dropEgress removes the controller's state of services without replicas. The caller holds the lock.
func (b *Balancer) dropEgress() {
	if b.egress != nil {
		b.egress.Retain(func(key string) bool {
			service, _, _ := strings.Cut(key, egressKeySeparator)
			return b.services[service] != nil
		})
	}
}

// EgressShares returns the shares of the requests that leave the data centre, by service, where the control is active: the largest
// one if requests have different allowed regions.
func (b *Balancer) EgressShares() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.egress == nil {
		return nil
	}
	shares := make(map[string]float64)
	for key, share := range b.egress.Shares() {
		service, _, _ := strings.Cut(key, egressKeySeparator)
		shares[service] = max(shares[service], share)
	}
	return shares
}

// RecordSize records the size of the bodies of a request to a service and its answer.
func (b *Balancer) RecordSize(service string, class RequestClass, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.egress != nil {
		b.egress.RecordSize(egressKey(service, class), bytes)
	}
}

// egressKeySeparator does not occur in a name.
const egressKeySeparator = "\x00"

// egressKey returns the name under which the controller keeps the requests to a service: those with the same allowed regions
// have the same replicas.
func egressKey(service string, class RequestClass) string {
	if !class.Regions.IsRestricted() {
		return service
	}
	return service + egressKeySeparator + strings.Join(class.Regions.Names(), egressKeySeparator)
}

// chooseSide applies the share of the requests that leaves the data centre to an attempt for which cost selected best, and returns
// why the attempt leaves. A retry or hedge, with isExtra set, is not affected. It changes the choice only between replicas that
// are neither suspect nor draining. isHeld is set if the attempt stays near although best is elsewhere. The caller holds the lock.
func (b *Balancer) chooseSide(service string, class RequestClass, best *replica, isExtra bool, now time.Time) (
	chosen *replica, reason EgressReason, isHeld bool,
) {
	expectedLatency := b.expectedLatencyFor(class.Kind)
	isBestFar := best.Distance != SameDataCentre
	var near *replica
	if isBestFar {
		near = b.cheapest(service, class, expectedLatency, now, isNear)
		if reason = b.egressReason(service, near, isExtra); reason != EgressFaster {
			return best, reason, false
		}
	}
	if b.egress == nil || isExtra || !b.canTake(best, class, expectedLatency, now) {
		return best, reason, false
	}
	key := egressKey(service, class)
	if b.egress.Begin(key, expectedLatency, now) {
		b.egress.Evaluate(key, b.egressReplicas(service, class, expectedLatency, now), now)
	}
	if !isBestFar && !b.egress.IsActive(key) {
		// Equal costs only count the request, as one that does not leave.
		b.egress.Decide(key, 0, 0)
		return best, reason, false
	}
	far := best
	if !isBestFar {
		near, far = best, b.cheapest(service, class, expectedLatency, now, isFar)
	}
	if far == nil {
		return best, reason, false
	}
	nearCost, farCost := costOf(near, class, expectedLatency, now), costOf(far, class, expectedLatency, now)
	switch choice, dataCentre := b.egress.Decide(key, nearCost, farCost); choice {
	case egress.Leave:
		isInDataCentre := func(r *replica) bool { return isFar(r) && r.DataCentre == dataCentre }
		if r := b.cheapest(service, class, expectedLatency, now, isInDataCentre); r != nil {
			if !isBestFar {
				reason = EgressShare
			}
			return r, reason, false
		}
	case egress.Stay:
		return near, StaysNear, isBestFar
	case egress.AsCompared:
	}
	return best, reason, false
}

func isNear(r *replica) bool { return r.Distance == SameDataCentre }

func isFar(r *replica) bool { return !isNear(r) }

// egressReason returns why an attempt leaves the data centre. near is the cheapest replica in the data centre, nil if none can be used.
func (b *Balancer) egressReason(service string, near *replica, isExtra bool) EgressReason {
	switch {
	case isExtra:
		return EgressExtra
	case near != nil:
		return EgressFaster
	}
	for _, r := range b.services[service] {
		if isNear(r) && b.evacuated[r.DataCentre] {
			return EgressEvacuated
		}
	}
	return EgressNoReplica
}

// costOf returns the cost of an attempt at a replica, with the penalty for another region.
func costOf(r *replica, class RequestClass, expectedLatency time.Duration, now time.Time) float64 {
	cost := r.cost(expectedLatency, now)
	if r.Distance == OtherRegion {
		cost += crossRegionPenalty * float64(class.TargetLatency)
	}
	return cost
}

// canTake reports whether a replica may get a request of the class and is neither suspect nor draining. The caller holds the lock.
func (b *Balancer) canTake(r *replica, class RequestClass, expectedLatency time.Duration, now time.Time) bool {
	isReady := r.State == Ready && r.leavingSince.IsZero()
	return class.Regions.Allows(r.Region) && b.isAvailable(r, now) && isReady && !r.isSuspect(expectedLatency, now)
}

// cheapest returns the replica with the lowest cost of those that canTake and isOnSide allow, nil if there is none. Ties are
// broken at random. The caller holds the lock.
func (b *Balancer) cheapest(
	service string, class RequestClass, expectedLatency time.Duration, now time.Time, isOnSide func(*replica) bool,
) *replica {
	var best *replica
	var bestCost float64
	list := b.services[service]
	offset := 0
	if b.egress != nil {
		offset = b.egress.Offset(len(list))
	}
	for i := range list {
		r := list[(offset+i)%len(list)]
		if !isOnSide(r) || !b.canTake(r, class, expectedLatency, now) {
			continue
		}
		if cost := costOf(r, class, expectedLatency, now); best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// egressReplicas returns the state of the replicas that can take a request, for the controller. The caller holds the lock.
func (b *Balancer) egressReplicas(service string, class RequestClass, expectedLatency time.Duration, now time.Time) []egress.Replica {
	list := b.services[service]
	all := make([]egress.Replica, 0, len(list))
	for _, r := range list {
		if !b.canTake(r, class, expectedLatency, now) {
			continue
		}
		known := egress.Replica{DataCentre: r.DataCentre, IsNear: r.Distance == SameDataCentre, Load: r.load.Running + r.load.Waiting,
			Slots: r.load.Slots, InFlight: len(r.inFlight), ReportAge: now.Sub(r.loadAt), Slowness: r.slowness}
		if known.Slots <= 0 {
			known.Slots = max(r.Slots, 1)
		}
		if !known.IsNear {
			known.Link = r.assumedRTT() - rttSameDataCentre
		}
		if r.Distance == OtherRegion {
			known.Link += time.Duration(crossRegionPenalty * float64(class.TargetLatency))
		}
		if now.Before(r.warmupUntil) {
			known.Slowness = max(known.Slowness, warmupCostFactor)
		}
		all = append(all, known)
	}
	return all
}
