package reception

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

// BufferedBody is a request body that has been received. It can be decoded without a copy.
type BufferedBody struct {
	bytes.Reader
	data []byte
}

// Bytes returns the whole body. It must not be changed.
func (b *BufferedBody) Bytes() []byte { return b.data }

// Close implements io.Closer.
func (*BufferedBody) Close() error { return nil }

// Handler returns a handler that receives the body of each request, of up to limit bytes, before it calls next. A refusal has a 4xx
// status, which daemons of all versions interpret as "not executed".
func (rc *Receiver) Handler(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := rc.Receive(w, r, limit)
		if err != nil {
			status := http.StatusBadRequest
			switch {
			case errors.Is(err, ErrTooLarge):
				status = http.StatusRequestEntityTooLarge
			case errors.Is(err, ErrTimeout):
				status = http.StatusRequestTimeout
			case errors.Is(err, ErrNoMemory), errors.Is(err, ErrEvicted), errors.Is(err, ErrChunks):
				status = http.StatusTooManyRequests
				w.Header().Set("Retry-After", strconv.FormatFloat(RetryAfter().Seconds(), 'f', 3, 64))
			}
			http.Error(w, err.Error(), status)
			return
		}
		defer body.Release()
		buffered := &BufferedBody{data: body.Bytes}
		buffered.Reset(body.Bytes)
		r.Body = buffered
		next.ServeHTTP(w, r)
	})
}
