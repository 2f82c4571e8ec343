package ctl

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const operatorDocument = `{"Version":7,"Routes":[{"Name":"o","Host":"b.example","PathPrefix":"/o/","TimeoutMs":6000,"TargetLatencyMs":1000,"Service":"s3"}],
"Services":[{"Name":"s3","MaxConnections":40,"Protocol":"h1"}],"Tenants":[{"Name":"kami","ApiKeys":["secret1"]}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// Guards against exit codes and output of the check on which scripts and operators depend.
func TestConfigCheck(t *testing.T) {
	h := newHarness(t)
	current := h.file("current.json", operatorDocument)
	next := h.file("next.json", strings.NewReplacer(`"Version":7`, `"Version":8`, `"TimeoutMs":6000`, `"TimeoutMs":5000`).Replace(operatorDocument))
	odd := h.file("odd.json", strings.Replace(operatorDocument, `"Name":"s3","Max`, `"Name":"s4","Max`, 1))
	bad := h.file("bad.json", strings.Replace(operatorDocument, `"TimeoutMs":6000`, `"TimeoutMs":0`, 1))
	for _, c := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{current}, ExitOK, "version 7, 1 routes, 1 services, 1 accounts\n  note: document: this version ignores the fields Services.Protocol\n"},
		{[]string{current, next}, ExitOK, "differences:\n  route \"o\": TimeoutMs: 6s -> 5s\n"},
		{[]string{next, current}, ExitInvalid, "  error: document: version 7 is not above version 8"},
		{[]string{odd}, ExitProblems, "  never matches: service \"s4\": no route sends requests to it\n"},
		{[]string{bad}, ExitInvalid, "  error: document: route \"o\" of version 7: timeout 0s must be positive\n"},
		{[]string{odd, bad}, ExitInvalid, "chivemillctl: " + bad + ": the daemons reject the configuration"},
		{[]string{h.dir + "/none"}, ExitInvalid, "cannot read"},
		{nil, ExitInvalid, "takes one or two files: FILE [NEXT-FILE]"},
		{[]string{"--settings", bad, current}, ExitInvalid, "cannot read " + bad},
	} {
		code, out, errs := h.run(append([]string{"config", "check"}, c.args...)...)
		must.StrContains(t, out+errs, c.output)
		must.Eq(t, c.code, code, must.Sprint(c.args))
		must.StrNotContains(t, out+errs, "secret1")
	}
}

// Guards against JSON output that a script cannot parse, or that differs from the exit code.
func TestConfigCheckAsJSON(t *testing.T) {
	h := newHarness(t)
	odd := strings.Replace(operatorDocument, `"Name":"s3","Max`, `"Name":"s4","Max`, 1)
	current, next := h.file("current.json", odd), h.file("next.json", strings.Replace(odd, `"Version":7`, `"Version":8`, 1))
	code, out, errs := h.run("--output", "json", "config", "check", current, next)
	must.Eq(t, ExitProblems, code)
	must.Eq(t, "", errs)
	var output configCheckOutput
	must.NoError(t, json.Unmarshal([]byte(out), &output))
	must.Eq(t, ExitProblems, output.ExitCode)
	must.Len(t, 2, output.Files)
	must.Eq(t, 8, output.Files[1].Version)
	must.Eq(t, "never matches", string(output.Files[0].Findings[0].Level))
	must.SliceEmpty(t, output.Differences)
}
