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
	// tinyBytes is the size up to which a reservation always has room: it takes less than its connection, whose number is limited. An
	// ordinary request is thus received whatever others hold.
	tinyBytes = 4 << 10
	// smallBytes is the size up to which a reservation counts as small. Small and large ones have separate shares, so that large bodies
	// can't prevent ordinary requests from being received.
	smallBytes = 64 << 10
	// smallShare is the share of the budget for small reservations.
	smallShare = 1.0 / 3
	// minHold is how long a reservation is safe from eviction. Without it, callers that send faster than the budget turns over would
	// evict each other before any body is complete.
	minHold = 200 * time.Millisecond
	// maxEvictingShare limits the memory of evicted reservations that their goroutines have not released yet, as a share of the budget.
	// It is used in addition to the budget.
	maxEvictingShare = 1.0 / 4
)

// ErrNoMemory means that the budget has no room and no reservation may be evicted yet.
var ErrNoMemory = errors.New("the memory for requests that are being received is in use")

// ErrEvicted means that a reservation lost its memory to others.
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
	holders  map[*Reservation]struct{}
}

// class is the size class of a reservation.
type class int

const (
	tiny class = iota
	small
	large
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
	return &Budget{maxBytes: [classes]int64{tiny: math.MaxInt64, small: smallMax, large: maxBytes - smallMax}, holders: make(map[*Reservation]struct{})}
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

// grow returns the reservations that it has evicted. The caller holds the lock.
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
	// A class that nobody else uses has room for one reservation of any size, so that the largest legal body is received in calm.
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
	b.holders[r] = struct{}{}
	return victims, nil
}

// victims returns the reservations of a class to evict for the missing bytes, or nil if there are not enough. r itself is among them if
// it has held most.
func (b *Budget) victims(r *Reservation, c class, missing int64, now time.Time) []*Reservation {
	if float64(b.evicting) > maxEvictingShare*float64(b.maxBytes[small]+b.maxBytes[large]) {
		return nil
	}
	// held is the memory times the time for which it has been held.
	held := func(r *Reservation) float64 { return float64(r.bytes) * now.Sub(r.since).Seconds() }
	heldByAddress := make(map[string]float64)
	var candidates []*Reservation
	for h := range b.holders {
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

// Complete ends the reception: the reservation can't grow or be evicted any more. It reports false if it was evicted before.
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
	delete(b.holders, r)
}
