package oncerun

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/chivemill/chivemill/api"
)

// keyLength is the length of the canonical text form of a UUID.
const keyLength = 36

// Key is a caller's idempotency key: a version 7 UUID, which holds its creation time.
type Key struct{ id uuid.UUID }

// ParseKey returns the key in the values of the Idempotency-Key header. The IETF draft defines the value as a
// quoted string; the bare form is accepted as well. The error is an *api.Error of kind api.BadKey.
func ParseKey(values []string) (Key, error) {
	if len(values) != 1 {
		return Key{}, badKey("exactly one value is required, got %d", len(values))
	}
	text := strings.TrimSpace(values[0])
	if len(text) == keyLength+2 && text[0] == '"' && text[keyLength+1] == '"' {
		text = text[1 : keyLength+1]
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != keyLength {
		return Key{}, badKey("the value is not a UUID in its canonical form")
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, badKey("the value is a UUID of version %d instead of 7", id.Version())
	}
	return Key{id}, nil
}

func badKey(format string, args ...any) error {
	return api.FieldErrorf(api.BadKey, api.HeaderKey, format, args...)
}

// NewKey returns a key that was created at the time.
func NewKey(at time.Time) Key {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return Key{id}
}

// String returns the canonical form in lower case.
func (k Key) String() string { return k.id.String() }

// Created returns the creation time, which the caller's clock set, in whole milliseconds.
func (k Key) Created() time.Time {
	var ms int64
	for _, b := range k.id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Fingerprint identifies a request by its service and query. Deadline and nonce may differ between a request and
// its resend, so they are not part of it.
func Fingerprint(service, query string) string {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write([]byte(query))
	return hex.EncodeToString(h.Sum(nil)[:16])
}
