package topology

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestOutageNeedsFailedCall guards against a gap between two answers of the store that counts as an outage although nobody tried to
// reach the store, or somebody reached it in between.
func TestOutageNeedsFailedCall(t *testing.T) {
	begin := time.Now()
	const never = -1
	for name, c := range map[string]struct {
		answers, failures []int
		end               int
	}{
		"nothing known":             {nil, nil, never},
		"one answer":                {[]int{0}, []int{100}, never},
		"short gap":                 {[]int{0, 2500}, []int{1000}, never},
		"stood still":               {[]int{0, 2700}, nil, never},
		"outage":                    {[]int{0, 2700}, []int{1000}, 2700},
		"failed before":             {[]int{100, 2800}, []int{50, 100}, never},
		"failed after":              {[]int{0, 2700, 2800}, []int{2750}, never},
		"another daemon read":       {[]int{0, 1500, 3500}, []int{1000, 2000, 3000}, never},
		"another daemon read early": {[]int{0, 500, 3500}, []int{1000}, 3500},
		"the later gap counts":      {[]int{0, 3000, 3500, 7000}, []int{1000, 4000}, 7000},
		"the later gap is none":     {[]int{0, 3000, 3500, 7000}, []int{1000}, never},
	} {
		var h storeHistory
		for _, i := range rand.Perm(len(c.answers)) {
			h.recordAnswer(begin.Add(time.Duration(c.answers[i]) * time.Millisecond))
		}
		for _, i := range rand.Perm(len(c.failures)) {
			h.recordFailure(begin.Add(time.Duration(c.failures[i]) * time.Millisecond))
		}
		want := time.Time{}
		if c.end != never {
			want = begin.Add(time.Duration(c.end) * time.Millisecond)
		}
		must.Eq(t, want, h.lastOutageEnd(), must.Sprint(name))
	}
}

// TestStoreHistoryIsBounded guards against a history that grows during a long outage.
func TestStoreHistoryIsBounded(t *testing.T) {
	var h storeHistory
	begin := time.Now()
	h.recordAnswer(begin)
	for i := range 10 * maxStoreFailures {
		h.recordFailure(begin.Add(time.Duration(i+1) * time.Second))
	}
	end := begin.Add(10 * maxStoreFailures * time.Second)
	h.recordAnswer(end)
	must.Eq(t, end, h.lastOutageEnd())
	must.Len(t, maxStoreFailures, h.failures)
	for i := range 10 * maxStoreSpans {
		h.recordAnswer(end.Add(time.Duration(i+1) * 2 * outageThreshold))
	}
	must.Len(t, maxStoreSpans, h.spans)
}

// TestSpansOfOtherDaemons guards against a gap that remains although another daemon read the store all the while: it tells its last read and
// for how long the store has answered.
func TestSpansOfOtherDaemons(t *testing.T) {
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		spans [][2]int
		end   int
	}{
		"whole gap":         {[][2]int{{-9000, 3900}}, 0},
		"begins in the gap": {[][2]int{{2000, 3900}}, 0},
		"begins late":       {[][2]int{{2600, 3900}}, 2600},
		"ends early":        {[][2]int{{-9000, 1000}}, 4000},
		"two":               {[][2]int{{-9000, 700}, {3000, 3100}}, 0},
	} {
		var h storeHistory
		h.recordAnswer(at(0))
		h.recordFailure(at(1500))
		h.recordAnswer(at(4000))
		for _, s := range c.spans {
			h.recordSpan(span{at(s[0]), at(s[1])})
		}
		want := time.Time{}
		if c.end != 0 {
			want = at(c.end)
		}
		must.Eq(t, want, h.lastOutageEnd(), must.Sprint(name))
	}
}
