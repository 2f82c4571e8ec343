package timewindow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestMaxWithin guards checks of rate limits against a count that misses a window, or that includes events before it.
func TestMaxWithin(t *testing.T) {
	var events []time.Time
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	for _, ms := range []int{0, 10, 20, 1000, 1400, 1900, 1999, 2000, 5000} {
		events = append(events, at(ms))
	}
	must.Eq(t, 4, MaxWithin(events, at(0), time.Second))
	must.Eq(t, 3, MaxWithin(events, at(0), 100*time.Millisecond))
	must.Eq(t, 4, MaxWithin(events, at(1001), time.Second), must.Sprint("without the event at 1000 ms"))
	must.Eq(t, 1, MaxWithin(events, at(3000), time.Hour))
	must.Eq(t, 0, MaxWithin(events, at(6000), time.Hour))
	must.Eq(t, 0, MaxWithin(nil, at(0), time.Hour))
}
