package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is an error kind. Callers and operators see no kinds other than those of the closed list below.
type Kind string

// The closed list of error kinds. The outcomes table maps each kind to its HTTP status and advice.
const (
	BadRequest        Kind = "bad_request"
	TooLarge          Kind = "too_large"
	UnknownService    Kind = "unknown_service"
	BadKey            Kind = "bad_key"
	DeadlinePast      Kind = "deadline_past"
	KeyConflict       Kind = "key_conflict"
	KeyExpired        Kind = "key_expired"
	Overloaded        Kind = "overloaded"
	NoSnapshot        Kind = "no_snapshot"
	NoProfile         Kind = "no_profile"
	StoreUnavailable  Kind = "store_unavailable"
	BackendRefused    Kind = "backend_refused"
	Quarantined       Kind = "quarantined"
	AlreadyDispatched Kind = "already_dispatched"
	CoverageTooLow    Kind = "coverage_too_low"
	DeadlineExceeded  Kind = "deadline_exceeded"
	OutcomeUnknown    Kind = "outcome_unknown"
	Internal          Kind = "internal"
	NoRoute           Kind = "no_route"
	Unauthenticated   Kind = "unauthenticated"
	NoConfiguration   Kind = "no_configuration"
	NoReplica         Kind = "no_replica"
	Stopping          Kind = "stopping"
	ReplicasFailed    Kind = "replicas_failed"
	BodyTimeout       Kind = "body_timeout"
	OverQuota         Kind = "over_quota"
)

// Run states whether a backend server executed the failed request.
type Run string

// Values of Run. RunNever guarantees that no backend server executed any part of the request. RunMaybe states that one
// may have. RunYes is the state of a request that was answered.
const (
	RunNever Run = "never"
	RunMaybe Run = "maybe"
	RunYes   Run = "yes"
)

// RetryAdvice advises the caller whether to send the same request again.
type RetryAdvice string

// Values of RetryAdvice. RetryNo advises against sending the same request again. RetryLater means that it may be sent
// again after a delay, RetryIdempotent that it may be sent again only if executing it twice does no harm.
const (
	RetryNo         RetryAdvice = "no"
	RetryLater      RetryAdvice = "later"
	RetryIdempotent RetryAdvice = "idempotent_only"
)

// Outcome is the HTTP status of an error kind, with what it states about execution and retries.
type Outcome struct {
	Status int
	Run    Run
	Retry  RetryAdvice
}

var outcomes = map[Kind]Outcome{
	BadRequest:        {http.StatusBadRequest, RunNever, RetryNo},
	TooLarge:          {http.StatusRequestEntityTooLarge, RunNever, RetryNo},
	UnknownService:    {http.StatusNotFound, RunNever, RetryNo},
	BadKey:            {http.StatusBadRequest, RunNever, RetryNo},
	DeadlinePast:      {http.StatusBadRequest, RunNever, RetryNo},
	KeyConflict:       {http.StatusUnprocessableEntity, RunNever, RetryNo},
	KeyExpired:        {http.StatusBadRequest, RunNever, RetryNo},
	Overloaded:        {http.StatusServiceUnavailable, RunNever, RetryLater},
	NoSnapshot:        {http.StatusServiceUnavailable, RunNever, RetryLater},
	NoProfile:         {http.StatusServiceUnavailable, RunNever, RetryLater},
	StoreUnavailable:  {http.StatusServiceUnavailable, RunNever, RetryLater},
	BackendRefused:    {http.StatusServiceUnavailable, RunNever, RetryLater},
	Quarantined:       {http.StatusUnprocessableEntity, RunNever, RetryNo},
	AlreadyDispatched: {http.StatusConflict, RunMaybe, RetryNo},
	CoverageTooLow:    {http.StatusBadGateway, RunMaybe, RetryIdempotent},
	DeadlineExceeded:  {http.StatusGatewayTimeout, RunMaybe, RetryIdempotent},
	OutcomeUnknown:    {http.StatusBadGateway, RunMaybe, RetryNo},
	Internal:          {http.StatusInternalServerError, RunMaybe, RetryIdempotent},
	NoRoute:           {http.StatusNotFound, RunNever, RetryNo},
	Unauthenticated:   {http.StatusUnauthorized, RunNever, RetryNo},
	NoConfiguration:   {http.StatusServiceUnavailable, RunNever, RetryLater},
	NoReplica:         {http.StatusServiceUnavailable, RunNever, RetryLater},
	Stopping:          {http.StatusServiceUnavailable, RunNever, RetryLater},
	ReplicasFailed:    {http.StatusBadGateway, RunMaybe, RetryIdempotent},
	BodyTimeout:       {http.StatusRequestTimeout, RunNever, RetryLater},
	OverQuota:         {http.StatusTooManyRequests, RunNever, RetryLater},
}

// Kinds returns all error kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(outcomes))
	for k := range outcomes {
		kinds = append(kinds, k)
	}
	return kinds
}

// Outcome returns the outcome of the kind, or that of Internal for an unknown kind.
func (k Kind) Outcome() Outcome {
	if o, ok := outcomes[k]; ok {
		return o
	}
	return outcomes[Internal]
}

// Error is an error with a kind. It is immutable and safe for concurrent use.
type Error struct {
	Kind Kind
	// Field is the name of the invalid request field, or empty.
	Field   string
	Message string
	// RetryAfter is the advised delay before a retry; 0 means no advice.
	RetryAfter time.Duration
	cause      error
}

// Errorf returns an error of the kind with a formatted message.
func Errorf(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// FieldErrorf returns an error of the kind for an invalid request field, with a formatted message.
func FieldErrorf(kind Kind, field, format string, args ...any) *Error {
	return &Error{Kind: kind, Field: field, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind that wraps its cause.
func Wrap(kind Kind, cause error, message string) *Error {
	return &Error{Kind: kind, Message: message, cause: eris.Wrap(cause, message)}
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message
	if e.Field != "" {
		text = string(e.Kind) + ": " + e.Field + ": " + e.Message
	}
	if e.cause != nil {
		text += ": " + eris.Cause(e.cause).Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of err, or Internal if err wraps no *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	RequestID string      `json:"request_id"`
	Kind      Kind        `json:"kind"`
	Field     string      `json:"field,omitempty"`
	Message   string      `json:"message"`
	Run       Run         `json:"run"`
	Retry     RetryAdvice `json:"retry"`
	// RetryAfterMS is the advised delay before a retry in milliseconds; 0 means no advice.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Coverage is set for errors that are determined after the shards were queried.
	Coverage *Coverage `json:"coverage,omitempty"`
}
