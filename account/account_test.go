package account

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAuthenticate guards accounts against callers with a key of another one, with part of a key, or without one.
func TestAuthenticate(t *testing.T) {
	table, err := NewTable([]Account{
		{Name: "one", Keys: []KeyHash{HashKey("k1"), HashKey("k2")}}, {Name: "two", Keys: []KeyHash{HashKey("k3")}, Regions: []string{"n"}},
	})
	must.NoError(t, err)
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two"} {
		a, ok := table.Authenticate(key)
		must.True(t, ok)
		must.Eq(t, want, a.Name)
		found, ok := table.Find(want)
		must.True(t, ok)
		must.Eq(t, a, found)
	}
	for _, key := range []string{"", "k", "k11", "K1", " k1", string(HashKey("k1"))} {
		_, ok := table.Authenticate(key)
		must.False(t, ok, must.Sprint(key))
	}
	_, ok := table.Find("three")
	must.False(t, ok)
	none, err := NewTable(nil)
	must.NoError(t, err)
	must.Nil(t, none)
}

// TestInvalidAccounts guards against a version of the configuration in which a key belongs to nobody, to two accounts, or to
// everybody.
func TestInvalidAccounts(t *testing.T) {
	key := []KeyHash{HashKey("k")}
	for name, accounts := range map[string][]Account{
		"no name":               {{Keys: key}},
		"empty key":             {{Name: "one", Keys: []KeyHash{HashKey("")}}},
		"no hash":               {{Name: "one", Keys: []KeyHash{""}}},
		"name twice":            {{Name: "one", Keys: key}, {Name: "one", Keys: []KeyHash{HashKey("l")}}},
		"key of two accounts":   {{Name: "one", Keys: key}, {Name: "two", Keys: key}},
		"key twice":             {{Name: "one", Keys: append(key, key...)}},
		"region without a name": {{Name: "one", Keys: key, Regions: []string{""}}},
	} {
		_, err := NewTable(accounts)
		must.ErrorContains(t, err, "account ", must.Sprint(name))
	}
}

// TestInvalidQuotas guards against a quota or priority that cannot be applied, also if it comes from another daemon. The error names the
// account and the field.
func TestInvalidQuotas(t *testing.T) {
	for field, accounts := range map[string][]Account{
		"RatePerS": {{RatePerS: -1}, {RatePerS: math.NaN()}, {RatePerS: math.Inf(1)}},
		"Burst":    {{RatePerS: 1, Burst: -1}, {RatePerS: 1, Burst: math.Inf(1)}, {Burst: 1}},
		"Priority": {{Priority: new(-1)}},
	} {
		for _, a := range accounts {
			a.Name = "one"
			_, err := NewTable([]Account{a})
			must.ErrorContains(t, err, `account "one"`)
			must.ErrorContains(t, err, field)
		}
	}
	_, err := NewTable([]Account{{Name: "one", RatePerS: 1}, {Name: "two", RatePerS: 0.5, Burst: 3, Priority: new(0)}, {Name: "three"}})
	must.NoError(t, err)
}

// TestRank guards routes and accounts against the wrong priority: the account's counts if it has one, also if it is 0.
func TestRank(t *testing.T) {
	must.Eq(t, 2, (&Account{}).Rank(2))
	must.Eq(t, 0, (&Account{Priority: new(0)}).Rank(2))
	must.Eq(t, 3, (&Account{Priority: new(3)}).Rank(2))
	must.Eq(t, 2, (*Account)(nil).Rank(2))
}

// TestAccountWithoutKeys guards the other changes of a version in which the operator has taken away all keys of an account: the
// version is valid, and no key is one of the account's.
func TestAccountWithoutKeys(t *testing.T) {
	table, err := NewTable([]Account{{Name: "one"}, {Name: "two", Keys: []KeyHash{HashKey("k")}}})
	must.NoError(t, err)
	_, ok := table.Authenticate("")
	must.False(t, ok)
	a, ok := table.Authenticate("k")
	must.True(t, ok)
	must.Eq(t, "two", a.Name)
	_, ok = table.Find("one")
	must.True(t, ok)
}

// TestEncodedAccountsHoldNoKeys guards keys against daemons and people that see messages between daemons.
func TestEncodedAccountsHoldNoKeys(t *testing.T) {
	data, err := json.Marshal(Account{Name: "one", Keys: []KeyHash{HashKey("secret-key")}})
	must.NoError(t, err)
	must.False(t, strings.Contains(string(data), "secret-key"))
}
