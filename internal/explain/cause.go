package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chivemill/chivemill/api"
)

// causes says what each error kind of a daemon means for its request; %s is the kind's reason.
var causes = map[api.Kind]string{
	api.NoRoute:          "no route of the configuration in force matches it: %s",
	api.NoConfiguration:  "the daemon had just started and knew no configuration",
	api.Stopping:         "the daemon was about to stop",
	api.Overloaded:       "it was refused before anything was sent: %s",
	api.NoReplica:        "it was refused before anything was sent: %s",
	api.BackendRefused:   "all replicas that it was sent to refused it, none executed it: %s",
	api.Quarantined:      "earlier requests like it crashed replicas",
	api.CoverageTooLow:   "too few shards answered: %s",
	api.DeadlineExceeded: "the time that its caller waits was over: %s",
	api.OutcomeUnknown:   "it may run only once and its replica may have executed it: %s",
	api.ReplicasFailed:   "the replicas that it was sent to failed: %s",
	api.BadRequest:       "the request cannot be served as it is: %s",
	api.TooLarge:         "its body is larger than the operator allows",
	api.Internal:         "the daemon failed: %s",
}

// Results of a daemon's line that are no error kinds.
const (
	resultOK      = "ok"
	resultPartial = "partial"
	resultPassed  = "passed_error"
	resultLeft    = "caller_left"
)

// cause names the cause of what the caller saw.
func cause(v *Visit) string {
	var text string
	switch v.Result {
	case resultOK:
		text = "it was answered in full"
	case resultPartial:
		text = fmt.Sprintf("%d of %d shards had no answer when it had to leave", v.Missing, v.Shards)
	case resultPassed:
		text = fmt.Sprintf("a replica answered it with status %d, which was passed on", v.Status)
	case resultLeft:
		text = fmt.Sprintf("the caller, or the daemon that passed it on, left after %.0f ms", v.TookMS)
	default:
		format, ok := causes[api.Kind(v.Result)]
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
		text += fmt.Sprintf("; helpers that took shards and whose answer did not come: %s", strings.Join(helpers, ", "))
	}
	if attempts := v.attempts(); len(attempts) > 0 {
		text += "; attempts without an answer: " + strings.Join(attempts, ", ")
	}
	if n := v.denied(); n > 0 {
		text += fmt.Sprintf("; the budget of extra attempts refused %d", n)
	}
	return text
}

// lostHelpers returns the helpers whose answer was lost or did not come in time.
func (v *Visit) lostHelpers() (lost []string) {
	for _, a := range v.Attempts {
		fields := strings.Fields(a)
		if len(fields) == 5 && fields[2] == "broken" && slices.Contains(v.Helpers, fields[1]) && !slices.Contains(lost, fields[1]) {
			lost = append(lost, fields[1])
		}
	}
	return lost
}
