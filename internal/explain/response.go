package explain

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/platform"
)

// responseLine is the log line of an unexpected response of a replica, or of a connection on which one can be taken for
// the response to another request. The tags are the keys of the log fields.
type responseLine struct {
	Time       time.Time `json:"ts"`
	Event      string    `json:"msg"`
	Node       string    `json:"node"`
	Request    string    `json:"request"`
	Replica    string    `json:"replica"`
	ReceivedID string    `json:"received_id"`
	// Kind is set for eventlog.ResponseMismatched.
	Kind platform.MismatchKind `json:"kind"`
	// RequestsAgo is how many requests before this one the connection carried the received or repeated id, 0 if unknown.
	RequestsAgo int `json:"requests_ago"`
	Status      int `json:"status"`
}

// parseResponse returns the response line in text. ok is false if text is the line of another event.
func parseResponse(event, text string) (line responseLine, ok bool) {
	switch event {
	case eventlog.ResponseMismatched, eventlog.ResponseEarly, eventlog.RequestIDRepeated, eventlog.PartNotSuccessful:
		return line, json.Unmarshal([]byte(text), &line) == nil
	default:
		return line, false
	}
}

// concerns reports whether the line is about the request: its own response, or one that was received for another request.
func (l *responseLine) concerns(request string) bool {
	return l.Request == request || l.ReceivedID == request
}

// String describes the response in a sentence.
func (l *responseLine) String() string {
	prefix := fmt.Sprintf("%s %s: request %s to replica %s: ", l.Time.Format("15:04:05.000"), l.Node, l.Request, l.Replica)
	switch l.Event {
	case eventlog.ResponseMismatched:
		return prefix + fmt.Sprintf("%s with status %d was refused", l.describeMismatch(), l.Status)
	case eventlog.ResponseEarly:
		return prefix + fmt.Sprintf("%s was received before the request was written", l.describeEarly())
	case eventlog.RequestIDRepeated:
		return prefix + fmt.Sprintf("the connection carried the same id %d requests earlier and was closed; another one was used",
			l.RequestsAgo)
	default:
		return prefix + fmt.Sprintf("a response with status %d was refused as a part of the answer", l.Status)
	}
}

func (l *responseLine) describeMismatch() string {
	switch {
	case l.Kind == platform.NoID:
		return "a response without an id"
	case l.Kind == platform.LateCopy:
		return fmt.Sprintf("a late second response to %s, the previous request on the connection,", l.ReceivedID)
	case l.RequestsAgo > 0:
		return fmt.Sprintf("a late second response to %s, %d requests earlier on the connection,", l.ReceivedID, l.RequestsAgo)
	default:
		return fmt.Sprintf("a response with the id %s, which none of the latest requests on the connection has,", l.ReceivedID)
	}
}

func (l *responseLine) describeEarly() string {
	if l.Status == 0 {
		return "part of a response"
	}
	return fmt.Sprintf("a response with the id %q and status %d", l.ReceivedID, l.Status)
}
