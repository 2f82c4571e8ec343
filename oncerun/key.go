package oncerun

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/chivemill/chivemill/api"
)

// uuidLength is the length of the canonical text form of a UUID.
const uuidLength = 36

// Key is a caller's idempotency key: a version 7 UUID, which contains its creation time.
type Key struct{ id uuid.UUID }

// ParseKey parses the values of the Idempotency-Key header, of which there must be exactly one. The IETF draft defines
// the value as a quoted string; the unquoted form is accepted as well. The error is an *api.Error of kind api.BadKey.
func ParseKey(values []string) (Key, error) {
	if len(values) != 1 {
		return Key{}, badKeyError("exactly one value is required, got %d", len(values))
	}
	text := strings.TrimSpace(values[0])
	if len(text) == uuidLength+2 && text[0] == '"' && text[uuidLength+1] == '"' {
		text = text[1 : uuidLength+1]
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != uuidLength {
		return Key{}, badKeyError("the value is not a UUID in its canonical form")
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, badKeyError("the value is a UUID of version %d instead of 7", id.Version())
	}
	return Key{id}, nil
}

func badKeyError(format string, args ...any) error {
	return api.FieldErrorf(api.BadKey, api.HeaderIdempotencyKey, format, args...)
}

// NewKey returns a key with the creation time at.
func NewKey(at time.Time) Key {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return Key{id}
}

// String returns the canonical text form in lower case.
func (k Key) String() string { return k.id.String() }

// Created returns the creation time by the caller's clock, in whole milliseconds.
func (k Key) Created() time.Time {
	var ms int64
	for _, b := range k.id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Fingerprint returns a hash of the service and query that identifies a request. It excludes the deadline and the
// nonce, because they may differ between a request and its resend.
func Fingerprint(service, query string) string {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write([]byte(query))
	return hex.EncodeToString(h.Sum(nil)[:16])
}
