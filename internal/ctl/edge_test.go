package ctl

import (
	"bytes"
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/edge"
)

// TestEdge guards the operator's view of a daemon of the users' platform: suspects are shown, ready replicas on demand.
func TestEdge(t *testing.T) {
	run := func(line ...string) (int, string) {
		var out, errs bytes.Buffer
		env := Env{Out: &out, Err: &errs, EdgeStatus: func(_ context.Context, url string) (edge.Status, error) {
			must.Eq(t, "http://10.0.0.1:8224", url)
			return edge.Status{Node: "edge-1", Version: 7, Daemons: map[string]int{"c0": 3}, Budgets: map[string]float64{"s": 2.5},
				Replicas: []edge.ReplicaStatus{{ID: "i-1", Service: "s", State: "ready"}, {ID: "i-2", Service: "s", State: "paused"}}}, nil
		}}
		code := Run(t.Context(), append([]string{"chivemillctl"}, line...), env)
		return code, out.String() + errs.String()
	}
	code, out := run("edge", "http://10.0.0.1:8224")
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, "version 7")
	must.StrContains(t, out, "s i-2")
	must.StrNotContains(t, out, "s i-1")
	must.StrContains(t, out, "replicas ready: 1")
	must.StrContains(t, out, "budget of s: 2.5")
	_, out = run("edge", "--all", "http://10.0.0.1:8224")
	must.StrContains(t, out, "s i-1")
	_, out = run("--output", "json", "edge", "http://10.0.0.1:8224")
	must.StrContains(t, out, `"version": 7`)
	code, _ = run("edge")
	must.NotEq(t, ExitOK, code)
}
