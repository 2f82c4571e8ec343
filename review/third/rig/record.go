// Package rig holds what the cases of the third review share: stand-ins of replicas that speak the platform's protocol on plain sockets,
// the settings with which daemons are started as processes on loopback, a client, and the record of what was sent, answered and run.
package rig

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event is one line of the record.
type Event struct {
	// AtMS is the time since the start of the record in milliseconds.
	AtMS int64 `json:"at_ms"`
	// What is sent, answered, run, refused, failed, garbled or another word that the case defines.
	What    string `json:"what"`
	Request string `json:"request,omitempty"`
	Who     string `json:"who,omitempty"`
	Status  int    `json:"status,omitempty"`
	Note    string `json:"note,omitempty"`
}

// Record keeps the events of a run and writes them to a file. It is safe for concurrent use.
type Record struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecord returns an empty record that starts now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Add adds an event at the present time.
func (r *Record) Add(e Event) {
	e.AtMS = time.Since(r.start).Milliseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Events returns all events so far.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// WriteFile writes the events as lines of JSON.
func (r *Record) WriteFile(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(f)
	for _, e := range r.Events() {
		if err := encoder.Encode(e); err != nil {
			_ = f.Close()
			return err
		}
	}
	return f.Close()
}
