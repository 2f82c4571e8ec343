package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is one entry of the closed list of error kinds that callers and operators see.
type Kind string

// The closed list of error kinds. The table in this file gives each kind its answer.
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
	NoConfiguration   Kind = "no_configuration"
	NoReplica         Kind = "no_replica"
	Stopping          Kind = "stopping"
	ReplicasFailed    Kind = "replicas_failed"
)

// Run states whether the request that an error answers was executed by a backend server.
type Run string

// Values of Run. Never is a promise: no backend server executed any part of the request. Maybe says that some may
// have; Yes is the state of an answered request.
const (
	RunNever Run = "never"
	RunMaybe Run = "maybe"
	RunYes   Run = "yes"
)

// Retry is the advice to the caller on sending the same request again.
type Retry string

// Values of Retry.
const (
	RetryNo         Retry = "no"
	RetryLater      Retry = "later"
	RetryIdempotent Retry = "idempotent_only"
)

// Outcome is the answer that belongs to an error kind.
type Outcome struct {
	Status int
	Run    Run
	Retry  Retry
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
	NoConfiguration:   {http.StatusServiceUnavailable, RunNever, RetryLater},
	NoReplica:         {http.StatusServiceUnavailable, RunNever, RetryLater},
	Stopping:          {http.StatusServiceUnavailable, RunNever, RetryLater},
	ReplicasFailed:    {http.StatusBadGateway, RunMaybe, RetryIdempotent},
}

// Kinds returns every error kind of the closed list.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(outcomes))
	for k := range outcomes {
		kinds = append(kinds, k)
	}
	return kinds
}

// Outcome returns the answer of the kind. An unknown kind is answered as Internal.
func (k Kind) Outcome() Outcome {
	if o, ok := outcomes[k]; ok {
		return o
	}
	return outcomes[Internal]
}

// Error is an error with a kind. It is immutable and safe for concurrent use.
type Error struct {
	Kind Kind
	// Field names the request field at fault, if one is.
	Field   string
	Message string
	// RetryAfter is the advised wait before a retry; 0 means none.
	RetryAfter time.Duration
	cause      error
}

// Errorf returns an error of the kind with a formatted message.
func Errorf(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// FieldErrorf returns an error of the kind that names the request field at fault.
func FieldErrorf(kind Kind, field, format string, args ...any) *Error {
	return &Error{Kind: kind, Field: field, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind that keeps its cause.
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

// KindOf returns the kind of err, or Internal if err carries none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	RequestID string `json:"request_id"`
	Kind      Kind   `json:"kind"`
	Field     string `json:"field,omitempty"`
	Message   string `json:"message"`
	Run       Run    `json:"run"`
	Retry     Retry  `json:"retry"`
	// RetryAfterMS is the advised wait in milliseconds; 0 means none.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Coverage is set for kinds that are decided after shards were queried.
	Coverage *Coverage `json:"coverage,omitempty"`
}
