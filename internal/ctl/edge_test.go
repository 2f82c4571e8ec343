package ctl

import (
	"bytes"
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/edge"
)

// TestEdgeStatus checks the output of the edge command: replicas that are not ready are always listed, ready ones only
// with --all.
func TestEdgeStatus(t *testing.T) {
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

// TestExplain checks the explain command with text and JSON output, with a request that is missing from the logs, and
// with an unreadable file.
func TestExplain(t *testing.T) {
	h := newHarness(t)
	const line = `{"ts":"2026-12-04T12:00:00Z","msg":"request refused","node":"e1","request":"r1","result":"overloaded","took_ms":0,"wait_ms":900,"reason":"8 of 10 shards have a replica with room"}`
	log := h.file("e1.log", line+"\n")
	code, out, _ := h.run("explain", "r1", log)
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, "cause: it was refused before anything was sent: 8 of 10 shards have a replica with room")
	code, out, _ = h.run("--output", "json", "explain", "r1", log)
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, `"result": "overloaded"`)
	code, out, _ = h.run("explain", "r2", log)
	must.Eq(t, ExitNotFound, code)
	must.StrContains(t, out, "no line of request r2")
	code, _, errs := h.run("explain", "r1", h.dir+"/none.log")
	must.NotEq(t, ExitOK, code)
	must.StrContains(t, errs, "none.log")
	code, _, _ = h.run("explain")
	must.Eq(t, ExitInvalid, code)
}
