package api_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/snapshot"
)

// Guards against a truncated answer that decodes as complete: every prefix of a body must be rejected, and so must a
// body whose completeness marker belongs to another request.
func TestTruncatedAnswersAreRejected(t *testing.T) {
	answer := api.Answer{
		RequestID: "r-1", Nonce: "n", Service: "s", Profile: "p", ProfileRevision: 3, Snapshot: snapshot.Version{Index: 1, Map: 2},
		Coverage: api.Coverage{Included: []string{"s-0"}, Missing: []api.MissingShard{}, Fraction: 1, Complete: true},
		Records:  []api.Record{{Key: "k", Value: "}", Shard: "s-0"}}, EndMarker: "r-1",
	}
	data, err := json.Marshal(answer)
	must.NoError(t, err)
	got, err := api.DecodeAnswer(data)
	must.NoError(t, err)
	must.Eq(t, answer, got)
	for n := range len(data) {
		_, err := api.DecodeAnswer(data[:n])
		must.ErrorIs(t, err, api.ErrTruncated, must.Sprintf("prefix of %d bytes", n))
	}
	for _, end := range []string{"", "r-2"} {
		answer.EndMarker = end
		data, err := json.Marshal(answer)
		must.NoError(t, err)
		_, err = api.DecodeAnswer(data)
		must.ErrorIs(t, err, api.ErrTruncated)
	}
	_, err = api.DecodeAnswer([]byte(`{}`))
	must.ErrorIs(t, err, api.ErrTruncated)
}

// Guards against an error kind that states run: never although it is also used after a request was dispatched.
func TestKindsAfterDispatchAreNotRunNever(t *testing.T) {
	for _, kind := range []api.Kind{
		api.AlreadyDispatched, api.CoverageTooLow, api.DeadlineExceeded, api.OutcomeUnknown, api.Internal,
	} {
		must.NotEq(t, api.RunNever, kind.Outcome().Run)
	}
	must.Eq(t, api.RunMaybe, api.Kind("no such kind").Outcome().Run)
}
