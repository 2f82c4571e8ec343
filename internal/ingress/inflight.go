package ingress

import (
	"net/http"

	"golang.org/x/sync/semaphore"
)

// maxPagesInFlight limits the status and metrics pages that are being rendered or sent at the same time on a port. Each holds a copy of what
// it shows until its reader has received it.
const maxPagesInFlight = 4

// LimitPages returns a handler that refuses requests with 503 while maxPagesInFlight others are in progress.
func LimitPages(next http.Handler) http.Handler {
	inFlight := semaphore.NewWeighted(maxPagesInFlight)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !inFlight.TryAcquire(1) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many pages are being read", http.StatusServiceUnavailable)
			return
		}
		defer inFlight.Release(1)
		next.ServeHTTP(w, r)
	})
}
