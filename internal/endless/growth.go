// Package endless has a server that sends bytes without end and measures the memory that reading them needs, for tests.
package endless

import (
	"runtime"
	"sync/atomic"
	"time"
)

// sampleInterval is the time between two readings of the heap.
const sampleInterval = time.Millisecond

// Growth returns the largest growth of the heap in bytes while f runs.
func Growth(f func()) uint64 {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var peak atomic.Uint64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), now.HeapAlloc))
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	f()
	close(stop)
	<-done
	return peak.Load() - min(before.HeapAlloc, peak.Load())
}
