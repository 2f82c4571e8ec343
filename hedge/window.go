package hedge

import (
	"sync"
	"time"
)

// windowSlots is the number of slots of a window; its resolution is a fiftieth of the span.
const windowSlots = 50

// Window bounds the extra sub-requests to one service in a sliding span of time: in any span that ends with an extra
// sub-request, the extra ones are at most ratio times the needed ones of the same span, plus a fixed part. The sum
// over daemons keeps the bound of the fleet for any split of the load, if each daemon uses the fleet's ratio and the
// fixed parts sum to the fleet's. It is safe for concurrent use.
type Window struct {
	span time.Duration

	mu     sync.Mutex
	ratio  float64
	fixed  float64
	slots  [windowSlots + 1]windowSlot
	newest int64
	needed int
	extra  int
	// spent is the number of extra sub-requests since the start.
	spent int64
}

type windowSlot struct{ needed, extra int }

// NewWindow returns an empty window. fixed is a number of sub-requests; ratio is a fraction of the needed ones.
func NewWindow(span time.Duration, ratio, fixed float64) *Window {
	return &Window{span: span, ratio: ratio, fixed: fixed}
}

// SetFixed changes the fixed part.
func (w *Window) SetFixed(fixed float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fixed = fixed
}

// advance drops the slots that left the span. One slot more than the span holds is kept for the extra ones, so that
// the bound holds for spans that do not begin with a slot; see Take.
func (w *Window) advance(now time.Time) *windowSlot {
	at := now.UnixNano() / int64(w.span/windowSlots)
	if w.newest == 0 || at-w.newest > windowSlots {
		w.slots = [windowSlots + 1]windowSlot{}
		w.needed, w.extra = 0, 0
		w.newest = at
	}
	for w.newest < at {
		w.newest++
		s := &w.slots[w.newest%(windowSlots+1)]
		w.needed -= s.needed
		w.extra -= s.extra
		*s = windowSlot{}
	}
	return &w.slots[w.newest%(windowSlots+1)]
}

// Earn counts needed sub-requests.
func (w *Window) Earn(n int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).needed += n
	w.needed += n
}

// Take reports whether one more extra sub-request is allowed at the time, and counts it. reserve is a fraction of the
// ratio's part that this kind of extra sub-request leaves to others, from 0 to 1.
func (w *Window) Take(now time.Time, reserve float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.advance(now)
	// The oldest slot reaches back beyond the span: its extra ones count and its needed ones do not.
	needed := w.needed - w.slots[(w.newest+1)%(windowSlots+1)].needed
	if float64(w.extra+1) > (w.ratio*float64(needed)+w.fixed)*(1-reserve) {
		return false
	}
	s.extra++
	w.extra++
	w.spent++
	return true
}

// Refund takes back an extra sub-request that was not sent.
func (w *Window) Refund(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.advance(now); s.extra > 0 {
		s.extra--
		w.extra--
		w.spent--
	}
}

// Spent returns the number of extra sub-requests since the window was made.
func (w *Window) Spent() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.spent
}

// Left returns how many extra sub-requests are allowed at the time.
func (w *Window) Left(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	needed := w.needed - w.slots[(w.newest+1)%(windowSlots+1)].needed
	return w.ratio*float64(needed) + w.fixed - float64(w.extra)
}

// View is a window as scatter.Budget, Earner and Refunder, on the system's clock. It is safe for concurrent use.
type View struct {
	Window *Window
	// Reserve is the fraction of the budget that this use leaves to others.
	Reserve float64
}

// Take reports whether one more extra sub-request is allowed, and counts it.
func (v *View) Take() bool { return v.Window.Take(time.Now(), v.Reserve) }

// Refund takes back an extra sub-request that was not sent.
func (v *View) Refund() { v.Window.Refund(time.Now()) }
