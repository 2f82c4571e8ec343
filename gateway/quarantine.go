package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemill/chivemill/quarantine"
)

// callerFingerprintPrefix marks the fingerprints that include the caller. The others are hexadecimal numbers.
const callerFingerprintPrefix = "caller-"

// quarantines are the guards against requests that crash replicas. byRequest takes equivalent requests of all callers together, byCaller
// those of each caller alone: the answers to other callers must not clear a request that crashes replicas for one of them. A guard of its
// own for each keeps one from taking the losses of the other for those of another request. It is safe for concurrent use.
type quarantines struct{ byRequest, byCaller *quarantine.Guard }

// newQuarantines returns guards with the rule.
func newQuarantines(rule quarantine.Rule, expiry time.Duration, publisher quarantine.Publisher,
	observations quarantine.ObservationPublisher) quarantines {
	newGuard := func() *quarantine.Guard {
		guard := quarantine.NewGuard(rule, expiry, publisher, nil)
		guard.SetObservationPublisher(observations)
		return guard
	}
	return quarantines{byRequest: newGuard(), byCaller: newGuard()}
}

// each calls f with both guards.
func (q quarantines) each(f func(*quarantine.Guard)) {
	f(q.byRequest)
	f(q.byCaller)
}

// guardOf returns the guard to which a fingerprint belongs.
func (q quarantines) guardOf(fingerprint string) *quarantine.Guard {
	if strings.HasPrefix(fingerprint, callerFingerprintPrefix) {
		return q.byCaller
	}
	return q.byRequest
}

// admit admits a request at the guards. Its attempts must use the returned context.
func (q quarantines) admit(ctx context.Context, request *Request, kind quarantine.Kind) (context.Context, *quarantineRun, error) {
	all := &quarantineRun{}
	fingerprints := []string{fingerprint(request)}
	if caller := callerIdentity(request); caller != "" {
		fingerprints = append(fingerprints, callerFingerprint(fingerprints[0], caller))
	}
	for _, f := range fingerprints {
		runCtx, run, err := q.guardOf(f).Admit(ctx, f, kind)
		if err != nil {
			all.Done()
			return ctx, nil, err
		}
		ctx, all.runs = runCtx, append(all.runs, run)
	}
	return ctx, all, nil
}

// quarantineRun is a request at each guard that has admitted it. Its methods are those of quarantine.Run.
type quarantineRun struct{ runs []*quarantine.Run }

// Wait blocks until an attempt may be sent. AttemptEnded must be called if and only if the error is nil.
func (r *quarantineRun) Wait(ctx context.Context) error {
	for i, run := range r.runs {
		if err := run.Wait(ctx); err != nil {
			for _, earlier := range r.runs[:i] {
				earlier.AttemptEnded()
			}
			return err
		}
	}
	return nil
}

// AttemptEnded records the end of an attempt.
func (r *quarantineRun) AttemptEnded() {
	for _, run := range r.runs {
		run.AttemptEnded()
	}
}

// Answered records that a replica of the service answered the request.
func (r *quarantineRun) Answered(service string) {
	for _, run := range r.runs {
		run.Answered(service)
	}
}

// ConnectionLost records that the connection to a replica of the service was lost while it may have been executing the request.
func (r *quarantineRun) ConnectionLost(service, replica string, at time.Time) {
	for _, run := range r.runs {
		run.ConnectionLost(service, replica, at)
	}
}

// Done ends the request.
func (r *quarantineRun) Done() {
	for _, run := range r.runs {
		run.Done()
	}
}

// Summaries returns the state of the request at each guard.
func (r *quarantineRun) Summaries() (summaries []quarantine.Summary) {
	for _, run := range r.runs {
		summaries = append(summaries, run.Summary())
	}
	return summaries
}

// fingerprint identifies equivalent requests: one that crashes replicas is usually sent again with the same path and
// body.
func fingerprint(request *Request) string {
	// Writes to this hash never fail.
	h := xxhash.New()
	for _, part := range []string{request.Method, request.Host, request.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(request.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// callerIdentity returns what a replica can tell the caller by: the client account, credentials and cookies. It is empty if the request
// has none of them.
func callerIdentity(request *Request) string {
	parts := append([]string{request.Account}, request.Header.Values("Authorization")...)
	parts = append(parts, request.Header.Values("Cookie")...)
	return strings.Trim(strings.Join(parts, "\x00"), "\x00")
}

// callerFingerprint identifies equivalent requests of one caller. The identity itself cannot be read from it.
func callerFingerprint(fingerprint, caller string) string {
	return callerFingerprintPrefix + strconv.FormatUint(xxhash.Sum64String(fingerprint+"\x00"+caller), 16)
}
