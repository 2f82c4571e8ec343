package profile_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/profile"
)

// TestDecodeMessages guards against error messages without the line or field of the problem, and against invalid
// documents that are accepted.
func TestDecodeMessages(t *testing.T) {
	cases := map[string]struct{ document, message string }{
		"empty":         {"", "p.yaml:1: document is empty"},
		"not a mapping": {"- a\n", "p.yaml:1: document is not a mapping of fields to values"},
		"unknown field": {"name: a\ndeadlin: 1s\n", "p.yaml:2: deadlin: unknown field"},
		"duplicate key": {"name: a\nshare: 1\nname: b\n", "p.yaml:3: name: is already given at line 1"},
		"missing unit":  {"name: a\ndeadline: 300\n", `p.yaml:2: deadline: "300" is not a duration with a unit, such as 250ms`},
		"no value":      {"name: a\nhedge:\n  budget:\n", "p.yaml:3: hedge.budget: has no value"},
		"two out of range": {"name: a\ndeadline: 90s\nshare: 0\n",
			"p.yaml:2: deadline: 1m30s is outside 5ms to 1m0s\np.yaml:3: share: 0 is outside 1 to 1000"},
		"text for number":     {"name: a\nshare: many\n", `p.yaml:2: share: "many" is not a whole number`},
		"fraction":            {"name: a\nretry: {max_attempts: 2.7}\n", `p.yaml:2: retry.max_attempts: "2.7" is not a whole number`},
		"text for mapping":    {"name: a\nhedge: on\n", `p.yaml:2: hedge: "on" is not a mapping of fields to values`},
		"list for mapping":    {"name: a\nhedge: [1]\n", "p.yaml:2: hedge: a list is not a mapping of fields to values"},
		"mapping for text":    {"name: {a: b}\n", "p.yaml:1: name: a mapping is not a text"},
		"second document":     {"name: a\n---\nname: b\n", "p.yaml:2: file holds more than one document"},
		"not a number":        {"name: a\nleast_coverage: .nan\n", "p.yaml:2: least_coverage: NaN is outside 0 to 1"},
		"enumeration":         {"name: a\npartial: maybe\n", `p.yaml:2: partial: "maybe" is not one of return, wait, refuse`},
		"syntax":              {"name: [a\n", "p.yaml:1: did not find expected ',' or ']'"},
		"contradicts refuse":  {"name: a\npartial: refuse\nleast_coverage: 0.9\n", "p.yaml:3: least_coverage: 0.9 contradicts partial: refuse, which needs 1"},
		"contradicts hedging": {"name: a\nretry:\n  max_attempts: 1\n", "p.yaml:3: retry.max_attempts: 1 contradicts hedge.enabled, because a hedge is a second attempt"},
		"two on one line": {"name: a\nhedge: {enabled: maybe, bogus: 1}\n",
			"p.yaml:2: hedge: \"maybe\" is not true or false\np.yaml:2: hedge.bogus: unknown field"},
		"delay past deadline": {"name: a\ndeadline: 10ms\nhedge: {min_delay: 10ms}\n",
			"p.yaml:3: hedge.min_delay: 10ms is not between 0s and the deadline of 10ms"},
		"partial after zero":     {"name: a\npartial_after: 0s\n", "p.yaml:2: partial_after: 0s is not above 0s and below the deadline of 1s"},
		"partial after negative": {"name: a\npartial_after: -1ms\n", "p.yaml:2: partial_after: -1ms is not above 0s and below the deadline of 1s"},
		"partial after deadline": {"name: a\ndeadline: 80ms\npartial_after: 80ms\n",
			"p.yaml:3: partial_after: 80ms is not above 0s and below the deadline of 80ms"},
		"partial after, no unit": {"name: a\npartial_after: 80\n", `p.yaml:2: partial_after: "80" is not a duration with a unit, such as 250ms`},
		"partial after, waits": {"name: a\npartial: wait\npartial_after: 80ms\n",
			"p.yaml:3: partial_after: 80ms contradicts partial: wait, which needs the whole deadline"},
		"partial after, refuses": {"name: a\npartial: refuse\nleast_coverage: 1\npartial_after: 80ms\n",
			"p.yaml:4: partial_after: 80ms contradicts partial: refuse, which needs the whole deadline"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := profile.Decode("p.yaml", []byte(tc.document))
			must.EqError(t, err, tc.message)
		})
	}
}

// TestDecodePartialAfter guards against a partial_after that is lost, and against one that is set although the
// document omits it.
func TestDecodePartialAfter(t *testing.T) {
	p, err := profile.Decode("p.yaml", []byte("name: a\npartial_after: 80ms\n"))
	must.NoError(t, err)
	must.Eq(t, 80*time.Millisecond, p.PartialAfterDuration())
	p, err = profile.Decode("p.yaml", []byte("name: a\n"))
	must.NoError(t, err)
	must.Zero(t, p.PartialAfterDuration())
}

// FuzzDecode guards against documents that crash the decoder, and against accepted profiles with values outside the
// documented ranges.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		"name: a\n", "name: a\ndeadline: 300ms\nhedge: {enabled: true, quantile: 0.9}\n", "a: &x [*x]\n", "? [a]\n: b\n",
		"name: a\n<<: {share: 3}\n", "name: a\nshare: 1e400\n", "---\n---\n", "name: !!binary AA==\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := profile.Decode("f", data)
		if err != nil {
			return
		}
		must.True(t, profile.ValidName(p.Name))
		must.Between(t, 1, p.Share, 1000)
		must.Between(t, 0, p.RequiredCoverage, 1)
		must.Less(t, p.Deadline, p.Hedge.MinDelay)
	})
}
