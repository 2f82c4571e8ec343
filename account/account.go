// Package account maps the keys of callers to client accounts. It holds keys as hashes only, so that no daemon, log or message
// between daemons has a key.
package account

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/residency"
)

// KeyHash is the hash of a key.
type KeyHash string

// HashKey returns the hash of a key. Keys are random and long, so an unsalted hash does not reveal them.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Account is a client account in a configuration.
type Account struct {
	Name string
	// Keys holds the hashes of the keys that callers of the account may use. Without keys, the account has no callers.
	Keys []KeyHash
	// Regions lists the regions in which requests may be served. An empty list allows all regions.
	Regions []string `json:",omitempty"`
	// RatePerS is the number of requests a second that all daemons together may send to replicas for the account, and Burst the
	// number that may be sent at once beyond it. A rate of 0 means no quota.
	RatePerS float64 `json:",omitempty"`
	Burst    float64 `json:",omitempty"`
	// Priority takes precedence over the priority of a request's route unless it is nil; 0 is the highest.
	Priority *int `json:",omitempty"`
}

// HasQuota reports whether the account's requests are limited.
func (a *Account) HasQuota() bool { return a.RatePerS > 0 }

// Rank returns the priority of a request of the account on a route with the given priority; 0 is the highest.
func (a *Account) Rank(routePriority int) int {
	if a == nil || a.Priority == nil {
		return routePriority
	}
	return *a.Priority
}

// AllowedRegions returns the regions in which requests of the account may be served.
func (a *Account) AllowedRegions() residency.Regions { return residency.Of(a.Regions) }

// Table finds accounts by key and by name. It is immutable.
type Table struct {
	byKey  map[KeyHash]*Account
	byName map[string]*Account
}

// NewTable validates the accounts and returns their table, nil if there are none. The error names the first invalid account and its
// invalid field.
func NewTable(accounts []Account) (*Table, error) {
	if len(accounts) == 0 {
		return nil, nil
	}
	t := &Table{byKey: make(map[KeyHash]*Account), byName: make(map[string]*Account, len(accounts))}
	for i := range accounts {
		if err := t.add(&accounts[i]); err != nil {
			return nil, eris.Wrapf(err, "account %q", accounts[i].Name)
		}
	}
	return t, nil
}

var emptyKey = HashKey("")

func (t *Table) add(a *Account) error {
	switch {
	case a.Name == "":
		return eris.New("name is empty")
	case t.byName[a.Name] != nil:
		return eris.New("name is used twice")
	}
	for _, region := range a.Regions {
		if region == "" {
			return eris.New("allowed regions contain an empty name")
		}
	}
	if err := a.validateQuota(); err != nil {
		return err
	}
	if a.Priority != nil && *a.Priority < 0 {
		return fmt.Errorf("field Priority: %d is negative", *a.Priority)
	}
	for i, key := range a.Keys {
		other := t.byKey[key]
		switch {
		case key == emptyKey || key == "":
			return fmt.Errorf("key %d is empty", i)
		case other != nil:
			return fmt.Errorf("key %d is also a key of account %q", i, other.Name)
		}
		t.byKey[key] = a
	}
	t.byName[a.Name] = a
	return nil
}

func (a *Account) validateQuota() error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"RatePerS", a.RatePerS}, {"Burst", a.Burst}} {
		switch {
		case math.IsNaN(f.value) || math.IsInf(f.value, 0):
			return fmt.Errorf("field %s: %v is not a finite number", f.name, f.value)
		case f.value < 0:
			return fmt.Errorf("field %s: %v is negative", f.name, f.value)
		}
	}
	if a.Burst > 0 && a.RatePerS == 0 {
		return fmt.Errorf("field Burst: %v without a RatePerS", a.Burst)
	}
	return nil
}

// Authenticate returns the account of a key; ok is false if no account has it. The time does not depend on how much of a key is
// right, since only hashes are compared.
func (t *Table) Authenticate(key string) (a *Account, ok bool) {
	a, ok = t.byKey[HashKey(key)]
	return a, ok
}

// Find returns the account with a name; ok is false if there is none.
func (t *Table) Find(name string) (a *Account, ok bool) {
	a, ok = t.byName[name]
	return a, ok
}
