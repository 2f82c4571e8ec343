package reception

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// startTime is the time at which the tests begin.
var startTime = time.Unix(1_800_000_000, 0)

// at returns the time some milliseconds after startTime.
func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

const (
	testBudget = 3 << 20
	// largeMax is the share of testBudget for large reservations.
	largeMax = testBudget - testBudget/3
	bodySize = largeMax / 4
)

// holder is a reservation whose evictions are recorded.
type holder struct {
	*Reservation
	isAborted bool
}

func reserve(b *Budget, address string, bytes int64, now time.Time) (*holder, error) {
	h := &holder{}
	h.Reservation = b.NewReservation(address, now, func() { h.isAborted = true })
	return h, h.Grow(bytes, now)
}

func mustReserve(t *testing.T, b *Budget, address string, bytes int64, now time.Time) *holder {
	t.Helper()
	h, err := reserve(b, address, bytes, now)
	must.NoError(t, err)
	return h
}

// TestLongestHolderIsEvictedFirst guards ordinary callers against bodies that never end: those that have held most memory for longest
// lose it, and only as many as necessary.
func TestLongestHolderIsEvictedFirst(t *testing.T) {
	b := NewBudget(testBudget)
	var holders []*holder
	for i := range 4 {
		holders = append(holders, mustReserve(t, b, fmt.Sprint(i), bodySize, at(10*i)))
	}
	mustReserve(t, b, "new", bodySize, at(1000))
	for i, h := range holders {
		must.Eq(t, i == 0, h.isAborted, must.Sprint(i))
	}
	must.ErrorIs(t, holders[0].Grow(1, at(1000)), ErrEvicted)
	must.False(t, holders[0].Complete())
}

// TestConnectionsOfOneAddressShareTheirGuilt guards single callers against one that splits what it holds over many connections.
func TestConnectionsOfOneAddressShareTheirGuilt(t *testing.T) {
	b := NewBudget(testBudget)
	single := mustReserve(t, b, "single", bodySize, at(0))
	var many []*holder
	for i := range 6 {
		many = append(many, mustReserve(t, b, "many", bodySize/2, at(10+i)))
	}
	mustReserve(t, b, "new", bodySize/2, at(500))
	must.False(t, single.isAborted)
	must.True(t, many[0].isAborted)
	must.False(t, many[1].isAborted)
}

// TestYoungHoldersAreSafe guards bodies that are on their way against a flood that evicts each before it is complete.
func TestYoungHoldersAreSafe(t *testing.T) {
	b := NewBudget(testBudget)
	for range 4 {
		mustReserve(t, b, "a", bodySize, at(0))
	}
	_, err := reserve(b, "b", bodySize, at(199))
	must.ErrorIs(t, err, ErrNoMemory)
	_, err = reserve(b, "b", bodySize, at(200))
	must.NoError(t, err)
}

// TestCompleteHoldersAreSafe guards requests that run, whose refusal would not be true.
func TestCompleteHoldersAreSafe(t *testing.T) {
	b := NewBudget(testBudget)
	for range 4 {
		must.True(t, mustReserve(t, b, "a", bodySize, at(0)).Complete())
	}
	_, err := reserve(b, "b", bodySize, at(1000))
	must.ErrorIs(t, err, ErrNoMemory)
}

// TestSmallAndLargeAreSeparate guards ordinary requests against requests with large bodies that run.
func TestSmallAndLargeAreSeparate(t *testing.T) {
	b := NewBudget(testBudget)
	for range 4 {
		mustReserve(t, b, "a", bodySize, at(0)).Complete()
	}
	h := mustReserve(t, b, "b", smallBytes, at(0))
	must.ErrorIs(t, h.Grow(1, at(1000)), ErrNoMemory, must.Sprint("a reservation that grows large counts as large"))
	must.True(t, h.Complete())
}

// TestTinyReservationsAlwaysHaveRoom guards ordinary requests against a flood of larger ones that are too young to be evicted.
func TestTinyReservationsAlwaysHaveRoom(t *testing.T) {
	b := NewBudget(testBudget)
	var full error
	for i := 0; full == nil && i < testBudget/smallBytes; i++ {
		_, full = reserve(b, "a", smallBytes, at(0))
	}
	must.ErrorIs(t, full, ErrNoMemory)
	tiny := mustReserve(t, b, "b", tinyBytes, at(0))
	must.ErrorIs(t, tiny.Grow(1, at(0)), ErrNoMemory)
	must.True(t, tiny.Complete())
}

// TestGrowerCanBeEvicted guards the order of evictions: a body that grows is judged like the others.
func TestGrowerCanBeEvicted(t *testing.T) {
	b := NewBudget(testBudget)
	first := mustReserve(t, b, "first", bodySize, at(0))
	for range 3 {
		mustReserve(t, b, "later", bodySize, at(700))
	}
	must.ErrorIs(t, first.Grow(1, at(1000)), ErrEvicted)
	must.True(t, first.isAborted)
	first.Release()
	must.Eq(t, 3*bodySize, b.Held())
}

// TestAnySizeIsReceivedAlone guards the largest legal body on a small machine, in calm, beside ordinary requests.
func TestAnySizeIsReceivedAlone(t *testing.T) {
	b := NewBudget(testBudget)
	mustReserve(t, b, "ordinary", 1000, at(0))
	huge := mustReserve(t, b, "a", 10*testBudget, at(0))
	_, err := reserve(b, "b", 10*testBudget, at(0))
	must.ErrorIs(t, err, ErrNoMemory)
	huge.Release()
	mustReserve(t, b, "b", 10*testBudget, at(0))
}

// TestEvictedMemoryIsBounded guards the memory against evicted bodies whose goroutines have not run yet: they still hold it.
func TestEvictedMemoryIsBounded(t *testing.T) {
	b := NewBudget(testBudget)
	var last error
	for i := range 100 {
		if _, last = reserve(b, "a", bodySize, at(300*i)); last != nil {
			break
		}
	}
	must.ErrorIs(t, last, ErrNoMemory)
	must.LessEq(t, testBudget*5/4, b.Held())
}

// TestBudgetAccounts draws sequences of operations and checks that the sum of a class exceeds its share only for a single reservation,
// and that nothing is left when all are released.
func TestBudgetAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(testBudget)
		var holders []*holder
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			now += rapid.IntRange(0, 300).Draw(t, "ms")
			switch operation := rapid.IntRange(0, 5).Draw(t, "operation"); {
			case operation <= 1 || len(holders) == 0:
				h, err := reserve(b, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"), rapid.Int64Range(1, testBudget).Draw(t, "bytes"), at(now))
				if err == nil {
					holders = append(holders, h)
				}
			default:
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				switch operation {
				case 2:
					_ = h.Grow(rapid.Int64Range(1, testBudget).Draw(t, "growth"), at(now))
				case 3:
					h.Shrink(h.bytes / 2)
				case 4:
					h.Complete()
				default:
					h.Release()
				}
			}
			for c, used := range b.used {
				var sum int64
				count := 0
				for h := range b.reservations {
					if classOf(h.bytes) == class(c) && !h.isEvicted && h.bytes > 0 {
						sum += h.bytes
						count++
					}
				}
				if sum != used {
					t.Fatalf("class %d: %d bytes used, sum %d", c, used, sum)
				}
				if used > b.maxBytes[c] && count > 1 {
					t.Fatalf("class %d: %d of %d bytes used by %d reservations", c, used, b.maxBytes[c], count)
				}
			}
			for _, h := range holders {
				if h.isAborted != h.IsEvicted() {
					t.Fatal("an eviction that was not told, or the reverse")
				}
			}
		}
		for _, h := range holders {
			h.Release()
			h.Release()
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes held after the release of all", b.Held())
		}
	})
}
