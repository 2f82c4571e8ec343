package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
)

// causeFormats describes the cause of each error kind; %s stands for the reason in the log line.
var causeFormats = map[api.Kind]string{
	api.NoRoute:          "no route of the configuration in force matches it: %s",
	api.NoConfiguration:  "the daemon had just started and had no configuration yet",
	api.Stopping:         "the daemon was stopping",
	api.Overloaded:       "it was refused before anything was sent: %s",
	api.OverQuota:        "its client account was over its quota: %s",
	api.NoReplica:        "it was refused before anything was sent: %s",
	api.BackendRefused:   "all replicas that it was sent to refused it and none executed it: %s",
	api.Quarantined:      "earlier requests like it crashed replicas",
	api.CoverageTooLow:   "too few shards answered: %s",
	api.DeadlineExceeded: "the caller's deadline passed: %s",
	api.OutcomeUnknown:   "it must not run twice and its replica may have executed it: %s",
	api.ReplicasFailed:   "the replicas that it was sent to failed: %s",
	api.BadRequest:       "the request is invalid: %s",
	api.TooLarge:         "its body is larger than the configured limit",
	api.Internal:         "the daemon failed: %s",
}

// Results in log lines that are not error kinds.
const (
	resultOK          = "ok"
	resultPartial     = "partial"
	resultPassedError = "passed_error"
	resultCallerLeft  = "caller_left"
)

// cause describes the cause of the outcome that the caller saw.
func cause(v *Visit) string {
	var text string
	switch v.Result {
	case resultOK:
		text = "it was answered in full"
	case resultPartial:
		text = fmt.Sprintf("%d of %d shards had no answer when the response was sent", v.Missing, v.Shards)
	case resultPassedError:
		text = fmt.Sprintf("a replica answered with status %d, which was forwarded to the caller", v.Status)
	case resultCallerLeft:
		text = fmt.Sprintf("the caller, or the daemon that delegated it, disconnected after %.0f ms", v.TookMS)
	default:
		format, ok := causeFormats[api.Kind(v.Result)]
		switch {
		case !ok:
			text = fmt.Sprintf("it ended as %s: %s", v.Result, v.Reason)
		case strings.Contains(format, "%s"):
			text = fmt.Sprintf(format, v.Reason)
		default:
			text = format
		}
	}
	if helpers := v.lostHelpers(); len(helpers) > 0 {
		text += fmt.Sprintf("; helpers that accepted shards and whose answer was lost or late: %s", strings.Join(helpers, ", "))
	}
	if n := v.countMismatched(); n > 0 {
		text += fmt.Sprintf("; replicas sent %d responses that belong to other requests or carry no id, which were refused", n)
	}
	if attempts := v.attemptCounts(); len(attempts) > 0 {
		text += "; attempts without an answer: " + strings.Join(attempts, ", ")
	}
	if n := v.countDenied(); n > 0 {
		text += fmt.Sprintf("; the retry budget denied %d extra attempts", n)
	}
	return text
}

// lostHelpers returns the helpers whose answer was lost or arrived too late.
func (v *Visit) lostHelpers() (lost []string) {
	for _, attempt := range v.Attempts {
		fields := strings.Fields(attempt)
		if len(fields) == 5 && fields[2] == "broken" && slices.Contains(v.Helpers, fields[1]) && !slices.Contains(lost, fields[1]) {
			lost = append(lost, fields[1])
		}
	}
	return lost
}

// mismatchedAttempt is the outcome and cause of an attempt whose response did not carry the request's id.
var mismatchedAttempt = fmt.Sprintf("%s %s", balancer.Failed, backend.Mismatched)

// countMismatched returns the number of attempts that got the response to another request, or one without an id.
func (v *Visit) countMismatched() int {
	counts := make(map[string]int)
	v.countAttempts(counts)
	return counts[mismatchedAttempt]
}
