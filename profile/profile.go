// Package profile defines the named profiles that configure how queries are answered, and decodes their documents.
package profile

import (
	"regexp"
	"time"

	"github.com/chivemill/chivemill/internal/strictyaml"
)

// PartialPolicy states how to handle an answer in which shards are missing.
type PartialPolicy string

// Values of PartialPolicy.
const (
	// PartialReturn returns a partial answer if it reaches the minimum coverage.
	PartialReturn PartialPolicy = "return"
	// PartialWait waits for missing shards until the deadline before it returns a partial answer.
	PartialWait PartialPolicy = "wait"
	// PartialRefuse returns an error unless the answer includes every shard.
	PartialRefuse PartialPolicy = "refuse"
)

// SnapshotPolicy states which snapshot a query reads.
type SnapshotPolicy string

// Values of SnapshotPolicy.
const (
	// SnapshotNewestComplete selects the newest snapshot of which every shard is available.
	SnapshotNewestComplete SnapshotPolicy = "newest_complete"
	// SnapshotRequireComplete rejects queries while there is no complete snapshot.
	SnapshotRequireComplete SnapshotPolicy = "require_complete"
)

// Hedge configures hedging, a second attempt for a slow sub-request.
type Hedge struct {
	Enabled bool `yaml:"enabled" json:"enabled"`
	// Quantile is the quantile of the service's latency after which a hedge is sent, in (0, 1).
	Quantile float64 `yaml:"quantile" json:"quantile"`
	// MinDelay is the minimum delay before a hedge is sent.
	MinDelay strictyaml.Duration `yaml:"min_delay" json:"min_delay"`
	// Budget is the allowed ratio of hedges to sub-requests, from 0 to 0.5.
	Budget float64 `yaml:"budget" json:"budget"`
}

// Retry configures further attempts after a failed one.
type Retry struct {
	// MaxAttempts is the maximum number of attempts for one sub-request, including hedges.
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
	// Budget is the allowed ratio of retries to sub-requests, from 0 to 0.5.
	Budget float64 `yaml:"budget" json:"budget"`
}

// Profile configures how the queries of a service are answered.
type Profile struct {
	Name string `yaml:"name" json:"name"`
	// Deadline is the default deadline of a query, and the longest that a query may request.
	Deadline strictyaml.Duration `yaml:"deadline" json:"deadline"`
	Partial  PartialPolicy       `yaml:"partial" json:"partial"`
	// RequiredCoverage is the minimum fraction of the key space that an answer must cover, from 0 to 1.
	RequiredCoverage float64 `yaml:"least_coverage" json:"least_coverage"`
	// PartialAfter is the time after which a query that has reached the minimum coverage is answered without the
	// missing shards. If it is nil, the query waits for them until the deadline.
	PartialAfter *strictyaml.Duration `yaml:"partial_after,omitempty" json:"partial_after,omitempty"`
	Hedge        Hedge                `yaml:"hedge" json:"hedge"`
	Retry        Retry                `yaml:"retry" json:"retry"`
	// Share is the weight of the profile in admission control, from 1 to 1000.
	Share    int            `yaml:"share" json:"share"`
	Snapshot SnapshotPolicy `yaml:"snapshot" json:"snapshot"`
}

// PartialAfterDuration returns the time after which an answer with the minimum coverage is returned without the missing
// shards, or 0 if PartialAfter is not set.
func (p Profile) PartialAfterDuration() time.Duration {
	if p.PartialAfter == nil {
		return 0
	}
	return p.PartialAfter.AsDuration()
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// MaxDocumentBytes is the maximum size of a profile document.
const MaxDocumentBytes = 64 << 10

// Limits of the values in a profile document. maxBudget applies to the budgets of hedges and of retries.
const (
	minDeadline = 5 * time.Millisecond
	maxDeadline = 60 * time.Second
	maxBudget   = 0.5
	maxAttempts = 5
	maxShare    = 1000
)

// ValidName reports whether s is a valid profile or service name: at most 63 lower-case letters, digits and hyphens,
// without a hyphen at the start or end.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Default returns the default values of the fields that a document omits.
func Default() Profile {
	return Profile{
		Deadline:         strictyaml.Duration(time.Second),
		Partial:          PartialReturn,
		RequiredCoverage: 0.5,
		Hedge:            Hedge{Enabled: true, Quantile: 0.95, MinDelay: strictyaml.Duration(time.Millisecond), Budget: 0.03},
		Retry:            Retry{MaxAttempts: 3, Budget: 0.02},
		Share:            100,
		Snapshot:         SnapshotNewestComplete,
	}
}

// Decode decodes and validates a profile document. file is used in error messages only. The error is a
// *strictyaml.Error that lists every problem found.
func Decode(file string, data []byte) (Profile, error) {
	p := Default()
	if len(data) > MaxDocumentBytes {
		return p, &strictyaml.Error{Problems: []strictyaml.Problem{{File: file, Line: 1, Text: "document is larger than 64 KiB"}}}
	}
	doc := strictyaml.Decode(file, data, &p)
	if err := doc.Err(); err != nil {
		return p, err
	}
	validate(doc, p)
	return p, doc.Err()
}

func validate(doc *strictyaml.Document, p Profile) {
	if !ValidName(p.Name) {
		doc.AddProblemf("name", "%q is not a name of lower-case letters, digits and hyphens", p.Name)
	}
	if d := p.Deadline.AsDuration(); d < minDeadline || d > maxDeadline {
		doc.AddProblemf("deadline", "%s is outside %s to %s", d, minDeadline, maxDeadline)
	}
	validateRange(doc, "least_coverage", p.RequiredCoverage, 0, 1)
	validateRange(doc, "hedge.budget", p.Hedge.Budget, 0, maxBudget)
	validateRange(doc, "retry.budget", p.Retry.Budget, 0, maxBudget)
	if p.Hedge.Enabled && !(p.Hedge.Quantile > 0 && p.Hedge.Quantile < 1) {
		doc.AddProblemf("hedge.quantile", "%g is outside (0, 1)", p.Hedge.Quantile)
	}
	if p.Hedge.MinDelay < 0 || p.Hedge.MinDelay >= p.Deadline {
		doc.AddProblemf("hedge.min_delay", "%s is not between 0s and the deadline of %s", p.Hedge.MinDelay.AsDuration(),
			p.Deadline.AsDuration())
	}
	if p.Retry.MaxAttempts < 1 || p.Retry.MaxAttempts > maxAttempts {
		doc.AddProblemf("retry.max_attempts", "%d is outside 1 to %d", p.Retry.MaxAttempts, maxAttempts)
	}
	if p.Share < 1 || p.Share > maxShare {
		doc.AddProblemf("share", "%d is outside 1 to %d", p.Share, maxShare)
	}
	validatePartialAfter(doc, p)
	validateEnums(doc, p)
	validateCombinations(doc, p)
}

func validatePartialAfter(doc *strictyaml.Document, p Profile) {
	if p.PartialAfter == nil {
		return
	}
	partialAfter := p.PartialAfter.AsDuration()
	if partialAfter <= 0 || partialAfter >= p.Deadline.AsDuration() {
		doc.AddProblemf("partial_after", "%s is not above 0s and below the deadline of %s", partialAfter, p.Deadline.AsDuration())
	}
	if p.Partial == PartialWait || p.Partial == PartialRefuse {
		doc.AddProblemf("partial_after", "%s contradicts partial: %s, which needs the whole deadline", partialAfter, p.Partial)
	}
}

func validateRange(doc *strictyaml.Document, field string, v, low, high float64) {
	if !(v >= low && v <= high) {
		doc.AddProblemf(field, "%g is outside %g to %g", v, low, high)
	}
}

func validateEnums(doc *strictyaml.Document, p Profile) {
	switch p.Partial {
	case PartialReturn, PartialWait, PartialRefuse:
	default:
		doc.AddProblemf("partial", "%q is not one of return, wait, refuse", p.Partial)
	}
	switch p.Snapshot {
	case SnapshotNewestComplete, SnapshotRequireComplete:
	default:
		doc.AddProblemf("snapshot", "%q is not one of newest_complete, require_complete", p.Snapshot)
	}
}

func validateCombinations(doc *strictyaml.Document, p Profile) {
	if p.Partial == PartialRefuse && p.RequiredCoverage != 1 {
		doc.AddProblemf("least_coverage", "%g contradicts partial: refuse, which needs 1", p.RequiredCoverage)
	}
	if p.Hedge.Enabled && p.Hedge.Budget > 0 && p.Retry.MaxAttempts == 1 {
		doc.AddProblemf("retry.max_attempts", "1 contradicts hedge.enabled, because a hedge is a second attempt")
	}
	if p.Hedge.Enabled && p.Hedge.Budget == 0 {
		doc.AddProblemf("hedge.budget", "0 contradicts hedge.enabled, because no hedge would ever be sent")
	}
}
