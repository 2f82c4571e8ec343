// Package account maps the keys of callers to client accounts. It holds keys as hashes only, so that no daemon, log or message
// between daemons has a key.
package account

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

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
}

// AllowedRegions returns the regions in which requests of the account may be served.
func (a *Account) AllowedRegions() residency.Regions { return residency.Of(a.Regions) }

// Table finds accounts by key and by name. It is immutable.
type Table struct {
	byKey  map[KeyHash]*Account
	byName map[string]*Account
}

// NewTable validates the accounts and returns their table, nil if there are none. The error names the first invalid account.
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
