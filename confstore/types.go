// Package confstore reads and changes the operators' configuration in the platform's store.
//
// A change is accepted when it is committed by compare-and-swap. If the store's answer to a write is lost, the client
// reads the key back to determine the outcome: each value records the ids of its last changes and the revisions that
// they replaced.
package confstore

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// Keys of the configuration in the store.
const (
	Prefix        = "/chivemill/config/"
	ProfilePrefix = Prefix + "profiles/"
	BindingsKey   = Prefix + "bindings"
)

// historyLimit is the number of earlier changes that a value records.
const historyLimit = 16

// maxValueBytes is the maximum size of an encoded value. Sixteen documents of 64 KiB would exceed the store's limit, so
// the oldest changes are dropped first.
const maxValueBytes = kv.MaxValueBytes / 2

// Change describes one accepted change of a profile.
type Change struct {
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Document string    `json:"document"`
	Retired  bool      `json:"retired,omitempty"`
	// ReplacedRevision is the store revision that the change replaced, 0 for a new profile.
	ReplacedRevision int64 `json:"replaced_revision"`
}

// ProfileValue is the value of a profile's key: the current change and earlier ones, from newest to oldest.
type ProfileValue struct {
	Name    string   `json:"name"`
	Current Change   `json:"current"`
	History []Change `json:"history,omitempty"`
}

// Profile is a stored profile. Revision is the modification revision of its key, 0 if the profile does not exist.
type Profile struct {
	ProfileValue
	Revision int64
}

// AcceptedChange is a change with the revision at which it was accepted.
type AcceptedChange struct {
	Change
	Revision int64
}

// Changes returns the current change and the earlier ones that the value still records, from newest to oldest.
func (p Profile) Changes() []AcceptedChange {
	revision := p.Revision
	changes := []AcceptedChange{{Change: p.Current, Revision: revision}}
	for _, c := range p.History {
		revision = changes[len(changes)-1].ReplacedRevision
		changes = append(changes, AcceptedChange{Change: c, Revision: revision})
	}
	return changes
}

// BindingChange is one accepted change of the bindings. An empty Profile means that the service was unbound.
type BindingChange struct {
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Service string    `json:"service"`
	Profile string    `json:"profile,omitempty"`
	// ReplacedRevision is the store revision that the change replaced.
	ReplacedRevision int64 `json:"replaced_revision"`
}

// Bindings is the value of BindingsKey: the profile of each service, and the last changes from newest to oldest.
type Bindings struct {
	Services map[string]string `json:"services"`
	Changes  []BindingChange   `json:"changes,omitempty"`
}

// ServicesOf returns the services that are bound to the profile, sorted.
func (b Bindings) ServicesOf(profile string) []string {
	var services []string
	for service, name := range b.Services {
		if name == profile {
			services = append(services, service)
		}
	}
	sort.Strings(services)
	return services
}

// ConflictError means that another change was accepted first. BaseRevision is the revision that the rejected change was
// based on, Current the profile as it is now.
type ConflictError struct {
	Name         string
	BaseRevision int64
	Current      Profile
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Revision == 0 {
		return fmt.Sprintf("profile %s does not exist, but the change was based on revision %d", e.Name, e.BaseRevision)
	}
	if e.BaseRevision == 0 {
		return fmt.Sprintf("profile %s already exists at revision %d, but the change was meant to create it",
			e.Name, e.Current.Revision)
	}
	return fmt.Sprintf("profile %s is at revision %d, but the change was based on revision %d",
		e.Name, e.Current.Revision, e.BaseRevision)
}

// InUseError means that a profile cannot be retired because services use it.
type InUseError struct {
	Name     string
	Services []string
}

// Error implements error.
func (e *InUseError) Error() string {
	return fmt.Sprintf("profile %s is in use by %s", e.Name, strings.Join(e.Services, ", "))
}

var (
	// ErrNotFound means that no such profile exists.
	ErrNotFound = errors.New("no such profile")
	// ErrNotBound means that the service is bound to no profile.
	ErrNotBound = errors.New("service is not bound to a profile")
	// ErrRetired means that the profile is retired.
	ErrRetired = errors.New("profile is retired")
	// ErrInvalid means that a name or document is invalid. Nothing was written.
	ErrInvalid = errors.New("invalid input")
	// ErrContended means that every attempt conflicted with another change. Nothing was written.
	ErrContended = errors.New("other changes were accepted first at every attempt")
)
