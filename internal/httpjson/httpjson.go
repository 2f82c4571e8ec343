// Package httpjson reads and writes JSON bodies of HTTP requests and responses.
package httpjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
)

// Write writes a response with the status and the value as JSON. It sets Content-Length, so that a client detects a
// truncated body.
func Write(w http.ResponseWriter, status int, value any) {
	data, err := Encode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	WriteEncoded(w, status, data)
}

// Encode encodes a value as JSON, with a newline behind it.
func Encode(value any) ([]byte, error) {
	var buf bytes.Buffer
	err := json.NewEncoder(&buf).Encode(value)
	return buf.Bytes(), err
}

// WriteEncoded writes a response with the status and a body that is JSON already, with Content-Length.
func WriteEncoded(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Read decodes a body that contains exactly one JSON value. It returns ErrTooLarge for a body longer than limit bytes.
// Unknown fields are errors.
func Read(r io.Reader, limit int64, value any) error {
	data, err := readAll(r, limit)
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return ErrTooLarge
	}
	return Decode(data, value)
}

// Decode decodes data that contains exactly one JSON value. Unknown fields are errors.
func Decode(data []byte, value any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

// readAll returns up to limit+1 bytes of r. A body that is in memory already is not copied.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	if buffered, ok := r.(interface{ Bytes() []byte }); ok {
		return buffered.Bytes(), nil
	}
	return io.ReadAll(io.LimitReader(r, limit+1))
}

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("body too large")
