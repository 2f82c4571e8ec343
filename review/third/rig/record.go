// Package rig holds what the cases of the third review share: stand-ins of replicas that speak the platform's protocol on plain sockets,
// the settings with which daemons are started as processes on loopback, a client, and the record of what was sent, answered and run.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Event is one line of the record.
type Event struct {
	// AtMS is the time since the start of the record in milliseconds.
	AtMS int64
	// What is sent, answered, run, refused, failed, garbled or another word that the case defines.
	What    string
	Request string
	Who     string
	Status  int
	Note    string
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

// WriteFile writes the events as lines of text: seconds, what, request, who, note and status.
func (r *Record) WriteFile(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, e := range r.Events() {
		fields := []string{fmt.Sprintf("%.3f", float64(e.AtMS)/1000), e.What}
		for _, text := range []string{e.Request, e.Who, e.Note} {
			if text != "" {
				fields = append(fields, text)
			}
		}
		if e.Status != 0 {
			fields = append(fields, fmt.Sprint(e.Status))
		}
		if _, err := fmt.Fprintln(w, strings.Join(fields, " ")); err != nil {
			_ = f.Close()
			return err
		}
	}
	if err := w.Flush(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
