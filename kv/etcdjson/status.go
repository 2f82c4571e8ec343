package etcdjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// gRPC codes that the gateway states in the body of an error answer.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeUnavailable     = 14
)

// MessageNoLeader is the store's message when it refused a call because it has no leader. Other answers with
// status 503, such as a request timeout or a change of the leader, leave open whether the call ran.
const MessageNoLeader = "etcdserver: no leader"

// statusCancelled is the gateway's status for a call that was cancelled while it ran.
const statusCancelled = 499

// maxErrorBody bounds the part of an error body that is read, in bytes.
const maxErrorBody = 4 << 10

// ErrorBody is the JSON body of an error answer of the gateway.
type ErrorBody struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// statusError is an HTTP error answer of the store.
type statusError struct {
	status  int
	message string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("store answered %d: %s", e.status, e.message)
}

func readStatus(resp *http.Response) *statusError {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	var body ErrorBody
	if json.Unmarshal(text, &body) != nil || body.Message == "" {
		body.Message = strings.TrimSpace(string(text))
	}
	return &statusError{status: resp.StatusCode, message: body.Message}
}

// mayHaveRun reports whether the store may have run a call that it answered with this error. Status 4xx means that
// the call was rejected, except for the two that mean that it was interrupted.
func (e *statusError) mayHaveRun() bool {
	switch {
	case e.status == http.StatusRequestTimeout, e.status == statusCancelled:
		return true
	case isRejected(e):
		return false
	case e.status == http.StatusServiceUnavailable:
		return e.message != MessageNoLeader
	}
	return true
}

// isRejected reports whether the store rejected the call, so that another endpoint would do the same.
func isRejected(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.status >= 400 && status.status < 500
}
