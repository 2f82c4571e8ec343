package etcdjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// gRPC status codes in the body of an error response of the gateway.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeUnavailable     = 14
)

// MessageNoLeader is the store's error message for a call that it refused because the cluster has no leader. Other
// responses with status 503, such as a request timeout or a leader change, do not show whether the call was executed.
const MessageNoLeader = "etcdserver: no leader"

// statusClientClosedRequest is the gateway's status for a call that was cancelled during execution.
const statusClientClosedRequest = 499

// maxErrorBodyBytes limits how much of an error body is read.
const maxErrorBodyBytes = 4 << 10

// ErrorBody is the JSON body of an error response of the gateway.
type ErrorBody struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// statusError is an HTTP error response of the store.
type statusError struct {
	status  int
	message string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("store responded with status %d: %s", e.status, e.message)
}

func readStatusError(resp *http.Response) *statusError {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	var body ErrorBody
	if json.Unmarshal(text, &body) != nil || body.Message == "" {
		body.Message = strings.TrimSpace(string(text))
	}
	return &statusError{status: resp.StatusCode, message: body.Message}
}

// mayHaveExecuted reports whether the store may have executed a call to which it responded with this error. Status 4xx
// means that the call was rejected, except for 408 and 499, which mean that it was interrupted.
func (e *statusError) mayHaveExecuted() bool {
	switch {
	case e.status == http.StatusRequestTimeout, e.status == statusClientClosedRequest:
		return true
	case isRejected(e):
		return false
	case e.status == http.StatusServiceUnavailable:
		return e.message != MessageNoLeader
	}
	return true
}

// isRejected reports whether the store rejected the call with a 4xx status, as any other endpoint would too.
func isRejected(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.status >= 400 && status.status < 500
}
