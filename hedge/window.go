package hedge

import (
	"sync"
	"time"
)

// windowSlots is the number of slots in the sliding window, which gives a resolution of 1/50 of the span.
const windowSlots = 50

// SlidingWindow limits the extra sub-requests to one service over a sliding time window. In any window that ends with
// an extra sub-request, the number of extra sub-requests is at most ratio times the number of required ones in the same
// window, plus a fixed allowance. The limit of the whole fleet holds for any distribution of the load if each daemon
// uses the fleet's ratio and the fixed allowances sum to that of the fleet. It is safe for concurrent use.
type SlidingWindow struct {
	span time.Duration

	mu       sync.Mutex
	ratio    float64
	fixed    float64
	slots    [windowSlots + 1]windowSlot
	newest   int64
	required int
	extra    int
	// spent is the number of extra sub-requests since the window was created.
	spent int64
}

type windowSlot struct{ required, extra int }

// NewSlidingWindow returns an empty window. ratio is a fraction of the required sub-requests and fixed a number of
// sub-requests.
func NewSlidingWindow(span time.Duration, ratio, fixed float64) *SlidingWindow {
	return &SlidingWindow{span: span, ratio: ratio, fixed: fixed}
}

// SetFixed changes the fixed allowance.
func (w *SlidingWindow) SetFixed(fixed float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fixed = fixed
}

// advance drops the slots that have left the window and returns the current one. It keeps one slot more than the
// span for the extra sub-requests, so that the limit also holds for windows that do not start at a slot boundary;
// see Withdraw.
func (w *SlidingWindow) advance(now time.Time) *windowSlot {
	at := now.UnixNano() / int64(w.span/windowSlots)
	if w.newest == 0 || at-w.newest > windowSlots {
		w.slots = [windowSlots + 1]windowSlot{}
		w.required, w.extra = 0, 0
		w.newest = at
	}
	for w.newest < at {
		w.newest++
		s := &w.slots[w.newest%(windowSlots+1)]
		w.required -= s.required
		w.extra -= s.extra
		*s = windowSlot{}
	}
	return &w.slots[w.newest%(windowSlots+1)]
}

// Deposit counts required sub-requests.
func (w *SlidingWindow) Deposit(n int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).required += n
	w.required += n
}

// Withdraw reports whether one more extra sub-request is allowed at the given time, and counts it if so. reserve, from
// 0 to 1, is the fraction of the limit that this kind of extra sub-request leaves to others.
func (w *SlidingWindow) Withdraw(now time.Time, reserve float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.advance(now)
	// The oldest slot starts before the window. Its extra sub-requests count and its required ones do not, so the
	// limit errs on the safe side.
	required := w.required - w.slots[(w.newest+1)%(windowSlots+1)].required
	if float64(w.extra+1) > (w.ratio*float64(required)+w.fixed)*(1-reserve) {
		return false
	}
	s.extra++
	w.extra++
	w.spent++
	return true
}

// Refund removes an extra sub-request that was not sent, if the current slot of the window counts one. Otherwise, the
// window keeps counting it.
func (w *SlidingWindow) Refund(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.advance(now); s.extra > 0 {
		s.extra--
		w.extra--
		w.spent--
	}
}

// Spent returns the number of extra sub-requests since the window was created.
func (w *SlidingWindow) Spent() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.spent
}

// Remaining returns how many extra sub-requests are allowed at the given time. It is negative while more were sent than
// the current limit allows.
func (w *SlidingWindow) Remaining(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	required := w.required - w.slots[(w.newest+1)%(windowSlots+1)].required
	return w.ratio*float64(required) + w.fixed - float64(w.extra)
}

// WindowBudget adapts a SlidingWindow to scatter.Budget and scatter.Refunder, using the system clock. It is safe for
// concurrent use.
type WindowBudget struct {
	Window *SlidingWindow
	// Reserve is the fraction of the limit that this use leaves to others.
	Reserve float64
}

// Withdraw reports whether one more extra sub-request is allowed, and counts it if so.
func (b *WindowBudget) Withdraw() bool { return b.Window.Withdraw(time.Now(), b.Reserve) }

// Refund removes an extra sub-request that was not sent; see SlidingWindow.Refund.
func (b *WindowBudget) Refund() { b.Window.Refund(time.Now()) }
