package ingress

import (
	"errors"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/reception"
)

// RefusalError returns the error for a request whose body was not received, for a limit of limit bytes. Nothing has run.
func RefusalError(err error, limit int64) *api.Error {
	retryAfter := func(e *api.Error) *api.Error {
		e.RetryAfter = reception.RetryAfter()
		return e
	}
	switch {
	case errors.Is(err, reception.ErrTooLarge):
		return api.FieldErrorf(api.TooLarge, "body", "is longer than %d bytes", limit)
	case errors.Is(err, reception.ErrTimeout):
		return retryAfter(api.Wrap(api.BodyTimeout, err, "the body is incomplete"))
	case errors.Is(err, reception.ErrNoMemory), errors.Is(err, reception.ErrEvicted), errors.Is(err, reception.ErrChunks):
		return retryAfter(api.Wrap(api.Overloaded, err, "the body was not received"))
	default:
		return api.Wrap(api.BadRequest, err, "the body cannot be read")
	}
}
