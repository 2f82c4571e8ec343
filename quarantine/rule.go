package quarantine

import "time"

// Rule holds the thresholds at which a request is quarantined.
type Rule struct {
	// Replicas is the number of distinct replicas to which a search request must lose its connection to be suspected;
	// 0 disables the rule for search requests.
	Replicas int
	// Window is the period within which these connections must be lost.
	Window time.Duration
	// RequireNoAnswer exempts search requests that a replica has already answered, because a request that crashes every
	// backend server that executes it is never answered.
	RequireNoAnswer bool
	// GracePeriod is how long the decision about a suspected search request is delayed, so that an answer can clear it.
	// Non-idempotent requests are decided at once.
	GracePeriod time.Duration
	// OrderReplicas and OrderWindow are the thresholds for non-idempotent requests. Each of these is sent to one replica
	// only, so the losses of all requests with the same fingerprint are added up. An answer to one of them resets the
	// count.
	OrderReplicas int
	OrderWindow   time.Duration
	// RecentAnswerWindow is how recently a fingerprint must have been answered to clear a suspected request. Each answer clears
	// one suspicion only. This keeps popular requests, whose refusal would cost most, out of quarantine if all replicas fail at
	// once, or if they are in flight at replicas that another request crashes.
	RecentAnswerWindow time.Duration
	// ServiceLosses, ServiceWindow and ServiceMinSpan are the thresholds for the losses of all requests with one fingerprint at
	// one service, on all daemons: that many losses without an answer of the service, at two replicas or more, all within
	// ServiceWindow and the first and the last at least ServiceMinSpan apart. 0 losses disable the rule.
	ServiceLosses                 int
	ServiceWindow, ServiceMinSpan time.Duration
	// FirstExpiry is how long a fingerprint is quarantined that was not quarantined shortly before; 0 means the expiry of the
	// guard. It may be shorter than that, since a replica that loses its answers for another reason can make a harmless request
	// look like one that crashes replicas.
	FirstExpiry time.Duration
}

// DefaultRule returns the default thresholds. docs/decisions/crashing-requests.md states the reasons.
func DefaultRule() Rule {
	return Rule{
		Replicas: 3, Window: 50 * time.Millisecond, RequireNoAnswer: true, GracePeriod: 40 * time.Millisecond,
		OrderReplicas: 2, OrderWindow: 10 * time.Minute, RecentAnswerWindow: 10 * time.Second,
		ServiceLosses: 3, ServiceWindow: time.Minute, ServiceMinSpan: 500 * time.Millisecond,
	}
}

// Kind is the way in which a request is executed.
type Kind int

// Values of Kind.
const (
	// Search is a request that is sent to many replicas.
	Search Kind = iota
	// Order is a non-idempotent request that is sent to one replica.
	Order
)
