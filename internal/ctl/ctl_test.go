package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/entry"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/kvtest"
)

// fleet is the operator's view of a store and of entry daemons by URL.
type fleet struct {
	t       *testing.T
	dir     string
	store   *kvtest.Memory
	daemons map[string]func() (entry.Status, error)
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, dir: t.TempDir(), store: kvtest.NewMemory(nil), daemons: map[string]func() (entry.Status, error){}}
}

// run runs a command line and returns its exit code and output.
func (f *fleet) run(line ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	env := Env{
		Out: &stdout, Err: &stderr, Author: "ana",
		Open:   func([]string) (kv.Store, error) { return f.store, nil },
		Status: func(_ context.Context, url string) (entry.Status, error) { return f.daemons[url]() },
	}
	code = Run(f.t.Context(), append([]string{"chivemillctl", "--store", "http://store"}, line...), env)
	return code, stdout.String(), stderr.String()
}

func (f *fleet) file(name, content string) string {
	path := filepath.Join(f.dir, name)
	must.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against exit codes that differ from the documented ones, which scripts depend on.
func TestExitCodes(t *testing.T) {
	f := newFleet(t)
	good := f.file("good.yaml", "name: tail\nshare: 1\n")
	changed := f.file("changed.yaml", "name: tail\nshare: 2\n")
	bad := f.file("bad.yaml", "name: tail\nshare: 0\n")
	steps := []struct {
		faults kvtest.Faults
		line   string
		code   int
		output string
	}{
		{line: "profile apply " + good, output: "profile tail accepted at revision 2\n"},
		{line: "profile apply " + good, output: "profile tail unchanged at revision 2\n"},
		{line: "profile diff " + good, output: ""},
		{line: "profile diff " + changed, output: "-share: 1\n+share: 2\n"},
		{line: "profile apply " + bad, code: ExitInvalid, output: "bad.yaml:2: share: 0 is outside 1 to 1000"},
		{line: "profile apply " + good + " extra", code: ExitInvalid, output: "takes 1 argument(s): FILE"},
		{line: "profile apply --base 1 " + changed, code: ExitConflict, output: "-share: 1\n+share: 2\n"},
		{line: "profile get other", code: ExitNotFound, output: "other: no such profile"},
		{line: "service bind loja-web tail", output: "service loja-web runs under profile tail at revision 3\n"},
		{line: "service list", output: "SERVICE   PROFILE\nloja-web  tail\nbindings at revision 3\n"},
		{line: "profile retire tail", code: ExitRefused, output: "profile tail is in use by loja-web"},
		{line: "service unbind loja-web", output: "service loja-web is bound to no profile at revision 4\n"},
		{line: "service unbind loja-web", code: ExitNotFound, output: "loja-web: service is not bound to a profile"},
		{line: "profile retire tail", output: "profile tail retired at revision 5\n"},
		{line: "profile retire tail", code: ExitRefused, output: "profile is retired"},
		{line: "service bind loja-web tail", code: ExitRefused, output: "brings a retired profile back"},
		{line: "profile list", output: "tail     5         retired  ana"},
		{line: "profile apply " + good, faults: kvtest.Faults{Unavailable: true}, code: ExitUnavailable, output: "the store cannot be reached"},
		{line: "profile apply " + changed, faults: kvtest.Faults{LostRequests: 100}, code: ExitUncertain, output: "To repeat it safely, use the same author and --base 5."},
		{line: "profile frob", code: ExitInvalid, output: `unknown command "frob"`},
		{line: "--author= profile retire tail", code: ExitInvalid, output: "no author"},
	}
	for _, step := range steps {
		f.store.SetFaults(step.faults)
		code, out, errs := f.run(strings.Fields(step.line)...)
		must.Eq(t, step.code, code, must.Sprintf("%s: %s%s", step.line, out, errs))
		must.StrContains(t, out+errs, step.output)
	}
}

// Guards against JSON output that a script cannot parse, in particular on failure.
func TestConflictAsJSON(t *testing.T) {
	f := newFleet(t)
	f.run("profile", "apply", f.file("a.yaml", "name: tail\nshare: 1\n"))
	code, out, errs := f.run("--output", "json", "profile", "apply", "--base", "0", f.file("b.yaml", "name: tail\nshare: 2\n"))
	must.Eq(t, ExitConflict, code)
	must.Eq(t, "", errs)
	var body failureBody
	must.NoError(t, json.Unmarshal([]byte(out), &body))
	must.Eq(t, "conflict", body.Error.Kind)
	must.Eq(t, 2, body.Error.Revision)
	must.StrContains(t, body.Error.Diff, "stored (revision 2 by ana)")
}

// Guards against a wait that ends before the revision is in force everywhere, or that never ends.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		start := time.Now()
		inForceAfter := func(delay time.Duration) func() (entry.Status, error) {
			return func() (entry.Status, error) {
				if time.Since(start) < delay {
					return entry.Status{Node: "n", Profiles: map[string]int64{"tail": 4}}, nil
				}
				return entry.Status{Node: "n", Profiles: map[string]int64{"tail": 6}}, nil
			}
		}
		f.daemons["http://a"] = inForceAfter(0)
		f.daemons["http://b"] = inForceAfter(3 * time.Second)
		f.daemons["http://c"] = func() (entry.Status, error) { return entry.Status{}, errors.New("connection refused") }
		line := []string{"profile", "wait", "tail", "--revision", "5", "--entry", "http://a", "--entry", "http://b"}
		code, out, _ := f.run(line...)
		must.Eq(t, ExitOK, code)
		must.Eq(t, 3*time.Second, time.Since(start))
		must.StrContains(t, out, "in force on 2 of 2 daemons")
		code, out, errs := f.run(append(line, "--entry", "http://c")...)
		must.Eq(t, ExitTimeout, code)
		must.Eq(t, 14*time.Second, time.Since(start))
		must.StrContains(t, out, "http://c  -     0         connection refused")
		must.StrContains(t, errs, "in force on 2 of 3 daemons after 11s")
	})
}
