package delegation

import (
	"encoding/json"
	"net/http"
	"unicode/utf8"
)

// rawText holds the texts of a message that came from a caller or a replica, as bytes. It stands in for them if one of them is not UTF-8,
// since encoding/json would replace such bytes. A daemon of an earlier version does not know it, and refuses the query.
type rawText struct {
	ID     []byte        `json:"id,omitempty"`
	Method []byte        `json:"method,omitempty"`
	Host   []byte        `json:"host,omitempty"`
	Target []byte        `json:"target,omitempty"`
	Path   []byte        `json:"path,omitempty"`
	Header []headerField `json:"header,omitempty"`
}

// headerField is one value of a header.
type headerField struct {
	Name  []byte `json:"name"`
	Value []byte `json:"value"`
}

// isUTF8 reports whether JSON strings can hold all texts and the header.
func isUTF8(header http.Header, texts ...string) bool {
	for _, text := range texts {
		if !utf8.ValidString(text) {
			return false
		}
	}
	for name, values := range header {
		if !utf8.ValidString(name) {
			return false
		}
		for _, value := range values {
			if !utf8.ValidString(value) {
				return false
			}
		}
	}
	return true
}

func newHeaderFields(header http.Header) (fields []headerField) {
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, headerField{[]byte(name), []byte(value)})
		}
	}
	return fields
}

func headerOf(fields []headerField) http.Header {
	if len(fields) == 0 {
		return nil
	}
	header := make(http.Header)
	for _, f := range fields {
		header[string(f.Name)] = append(header[string(f.Name)], string(f.Value))
	}
	return header
}

// encode returns the message of a query.
func (q Query) encode() ([]byte, error) {
	if !isUTF8(q.Header, q.ID, q.Method, q.Host, q.Target, q.Path) {
		q.Raw = &rawText{[]byte(q.ID), []byte(q.Method), []byte(q.Host), []byte(q.Target), []byte(q.Path), newHeaderFields(q.Header)}
		q.ID, q.Method, q.Host, q.Target, q.Path, q.Header = "", "", "", "", "", nil
	}
	return json.Marshal(q)
}

// restore sets the texts of a decoded query that travelled as bytes.
func (q *Query) restore() {
	if raw := q.Raw; raw != nil {
		q.ID, q.Method, q.Host = string(raw.ID), string(raw.Method), string(raw.Host)
		q.Target, q.Path, q.Header = string(raw.Target), string(raw.Path), headerOf(raw.Header)
		q.Raw = nil
	}
}

// encodable returns the answer with its header as bytes if JSON strings cannot hold it.
func (a *ReplicaAnswer) encodable() *ReplicaAnswer {
	if a == nil || isUTF8(a.Header) {
		return a
	}
	encoded := *a
	encoded.RawHeader, encoded.Header = newHeaderFields(a.Header), nil
	return &encoded
}

// restore sets the header of a decoded answer that travelled as bytes.
func (a *ReplicaAnswer) restore() {
	if a != nil && len(a.RawHeader) > 0 {
		a.Header, a.RawHeader = headerOf(a.RawHeader), nil
	}
}
