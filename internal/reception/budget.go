// Package reception limits what requests may hold while they are being received: memory for bodies and headers, and connections.
// Budget and Connections decide and do no I/O. Receiver reads bodies under a Budget.
package reception

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// tinyBytes is the size up to which a reservation always has room, so that an ordinary request is received whatever others hold. The
	// total is bounded because the number of connections is, and each takes more than that itself.
	tinyBytes = 4 << 10
	// smallBytes is the size up to which a reservation counts as small. Small and large ones have separate shares, so that large bodies
	// can't prevent ordinary requests from being received.
	smallBytes = 64 << 10
	// smallShare is the share of the budget for small reservations.
	smallShare = 1.0 / 3
	// minHold is how long a reservation cannot be evicted. Without it, callers that send faster than the budget is released would evict
	// each other before any body is complete.
	minHold = 200 * time.Millisecond
	// maxEvictingShare limits the memory of evicted reservations that their goroutines have not released yet, as a share of the budget.
	// This memory is used in addition to the budget.
	maxEvictingShare = 1.0 / 4
)

// ErrNoMemory means that the budget has no room and no reservation may be evicted yet.
var ErrNoMemory = errors.New("the memory for requests that are being received is in use")

// ErrEvicted means that a reservation was evicted to make room for others.
var ErrEvicted = errors.New("the request held memory for too long while it was received")

// Budget limits the memory of requests from their reception until they have been answered. A reservation that does not fit evicts
// incomplete ones: those of the address that holds most memory for longest first, and of one address those that hold most for longest.
// It is safe for concurrent use.
type Budget struct {
	maxBytes [classes]int64

	mu sync.Mutex
	// used is the sum of the reservations of a class without evicted ones, evicting the sum of the evicted ones that are not released.
	used     [classes]int64
	evicting int64
	// reservations holds those that have grown and have not been released.
	reservations map[*Reservation]struct{}
}

// class is the size class of a reservation.
type class int

const (
	tiny class = iota
	small
	large
	// classes is the number of classes.
	classes
)

func classOf(bytes int64) class {
	switch {
	case bytes > smallBytes:
		return large
	case bytes > tinyBytes:
		return small
	default:
		return tiny
	}
}

// NewBudget returns a budget of maxBytes.
func NewBudget(maxBytes int64) *Budget {
	smallMax := int64(smallShare * float64(maxBytes))
	return &Budget{
		maxBytes:     [classes]int64{tiny: math.MaxInt64, small: smallMax, large: maxBytes - smallMax},
		reservations: make(map[*Reservation]struct{}),
	}
}

// Held returns the sum of the reservations in bytes.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[tiny] + b.used[small] + b.used[large] + b.evicting
}

// Reservation is the memory of one request. Its methods are safe for concurrent use.
type Reservation struct {
	budget  *Budget
	address string
	// abort interrupts the reception. It is called at most once.
	abort func()

	// The budget's lock guards the fields below.
	bytes      int64
	since      time.Time
	isComplete bool
	isEvicted  bool
}

// NewReservation returns an empty reservation for a request from an address. abort is called, without locks held, when the reservation
// is evicted; the holder has to release it then.
func (b *Budget) NewReservation(address string, now time.Time, abort func()) *Reservation {
	return &Reservation{budget: b, address: address, abort: abort, since: now}
}

// Grow adds bytes to the reservation. It returns ErrNoMemory or ErrEvicted if it must not grow; the reservation then keeps its size.
func (r *Reservation) Grow(bytes int64, now time.Time) error {
	b := r.budget
	b.mu.Lock()
	victims, err := b.grow(r, bytes, now)
	b.mu.Unlock()
	for _, v := range victims {
		v.abort()
	}
	return err
}

// grow implements Grow and returns the reservations that it has evicted, whose reception the caller has to abort. The caller holds the
// lock.
func (b *Budget) grow(r *Reservation, bytes int64, now time.Time) (victims []*Reservation, err error) {
	if r.isEvicted {
		return nil, ErrEvicted
	}
	if r.isComplete {
		return nil, ErrNoMemory
	}
	from, to := classOf(r.bytes), classOf(r.bytes+bytes)
	others := b.used[to]
	if from == to {
		others -= r.bytes
	}
	// A class without other reservations has room for one of any size, so that the largest legal body can be received.
	if missing := others + r.bytes + bytes - b.maxBytes[to]; missing > 0 && others > 0 {
		victims = b.victims(r, to, min(missing, others), now)
		if victims == nil {
			return nil, ErrNoMemory
		}
		if slices.Contains(victims, r) {
			b.evict(r)
			return []*Reservation{r}, ErrEvicted
		}
		for _, v := range victims {
			b.evict(v)
		}
	}
	b.used[from] -= r.bytes
	r.bytes += bytes
	b.used[to] += r.bytes
	b.reservations[r] = struct{}{}
	return victims, nil
}

// victims returns the reservations of a class to evict for the missing bytes, or nil if there are not enough. r itself is the last of them
// if the eviction order reaches it. The caller holds the lock.
func (b *Budget) victims(r *Reservation, c class, missing int64, now time.Time) []*Reservation {
	if float64(b.evicting) > maxEvictingShare*float64(b.maxBytes[small]+b.maxBytes[large]) {
		return nil
	}
	// held is the size of a reservation times the time for which it has been held.
	held := func(r *Reservation) float64 { return float64(r.bytes) * now.Sub(r.since).Seconds() }
	heldByAddress := make(map[string]float64)
	var candidates []*Reservation
	for h := range b.reservations {
		if !h.isComplete && !h.isEvicted && (classOf(h.bytes) == c || h == r) && now.Sub(h.since) >= minHold {
			candidates = append(candidates, h)
			heldByAddress[h.address] += held(h)
		}
	}
	slices.SortFunc(candidates, func(x, y *Reservation) int {
		return cmp.Or(-cmp.Compare(heldByAddress[x.address], heldByAddress[y.address]), cmp.Compare(x.address, y.address),
			-cmp.Compare(held(x), held(y)))
	})
	if len(candidates) == 1 && candidates[0] == r {
		return nil
	}
	for i, v := range candidates {
		missing -= v.bytes
		if missing <= 0 || v == r {
			return candidates[:i+1]
		}
	}
	return nil
}

// evict marks a reservation as evicted. The caller holds the lock.
func (b *Budget) evict(r *Reservation) {
	r.isEvicted = true
	b.used[classOf(r.bytes)] -= r.bytes
	b.evicting += r.bytes
}

// Shrink removes bytes from the reservation.
func (r *Reservation) Shrink(bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.shrink(r, bytes)
}

// ShrinkTo removes what the reservation holds beyond a number of bytes.
func (r *Reservation) ShrinkTo(bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.shrink(r, max(0, r.bytes-bytes))
}

// Reopen ends the protection of a complete reservation: from now on it may grow and may be evicted. It has no effect after an eviction.
func (r *Reservation) Reopen(now time.Time) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.isComplete, r.since = false, now
}

// shrink implements Shrink. The caller holds the lock.
func (b *Budget) shrink(r *Reservation, bytes int64) {
	if r.isEvicted {
		b.evicting -= bytes
		r.bytes -= bytes
		return
	}
	b.used[classOf(r.bytes)] -= r.bytes
	r.bytes -= bytes
	b.used[classOf(r.bytes)] += r.bytes
}

// Complete ends the reception: the reservation cannot grow or be evicted any more. It returns false if it was evicted before.
func (r *Reservation) Complete() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.isComplete = !r.isEvicted
	return r.isComplete
}

// IsEvicted reports whether the reservation was evicted.
func (r *Reservation) IsEvicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.isEvicted
}

// Release ends the reservation. It may be called repeatedly.
func (r *Reservation) Release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shrink(r, r.bytes)
	delete(b.reservations, r)
}
