// Package timewindow counts events in sliding windows, for tests of rate limits.
package timewindow

import "time"

// MaxWithin returns the largest number of events within any window of the given length that begins at or after a time. The
// times of the events must be in ascending order.
func MaxWithin(events []time.Time, after time.Time, window time.Duration) (most int) {
	first := 0
	for last, at := range events {
		if at.Before(after) {
			first = last + 1
			continue
		}
		for at.Sub(events[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
