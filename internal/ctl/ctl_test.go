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

// harness runs chivemillctl against an in-memory store and entry daemons, which are keyed by URL.
type harness struct {
	t       *testing.T
	dir     string
	store   *kvtest.Memory
	daemons map[string]func() (entry.Status, error)
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, dir: t.TempDir(), store: kvtest.NewMemory(nil), daemons: map[string]func() (entry.Status, error){}}
}

// run runs chivemillctl with the arguments and returns its exit code and output.
func (h *harness) run(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	env := Env{
		Out: &stdout, Err: &stderr, Author: "ana",
		OpenStore:   func([]string) (kv.Store, error) { return h.store, nil },
		EntryStatus: func(_ context.Context, url string) (entry.Status, error) { return h.daemons[url]() },
	}
	code = Run(h.t.Context(), append([]string{"chivemillctl", "--store", "http://store"}, args...), env)
	return code, stdout.String(), stderr.String()
}

func (h *harness) file(name, content string) string {
	path := filepath.Join(h.dir, name)
	must.NoError(h.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// TestExitCodes guards against exit codes that differ from the documented ones, on which scripts depend.
func TestExitCodes(t *testing.T) {
	h := newHarness(t)
	good := h.file("good.yaml", "name: tail\nshare: 1\n")
	changed := h.file("changed.yaml", "name: tail\nshare: 2\n")
	bad := h.file("bad.yaml", "name: tail\nshare: 0\n")
	steps := []struct {
		storeFaults kvtest.Faults
		command     string
		code        int
		output      string
	}{
		{command: "profile apply " + good, output: "profile tail accepted at revision 2\n"},
		{command: "profile apply " + good, output: "profile tail unchanged at revision 2\n"},
		{command: "profile diff " + good, output: ""},
		{command: "profile diff " + changed, output: "-share: 1\n+share: 2\n"},
		{command: "profile apply " + bad, code: ExitInvalid, output: "bad.yaml:2: share: 0 is outside 1 to 1000"},
		{command: "profile apply " + good + " extra", code: ExitInvalid, output: "takes 1 argument(s): FILE"},
		{command: "profile apply --base 1 " + changed, code: ExitConflict, output: "-share: 1\n+share: 2\n"},
		{command: "profile get other", code: ExitNotFound, output: "other: no such profile"},
		{command: "service bind loja-web tail", output: "service loja-web runs under profile tail at revision 3\n"},
		{command: "service list", output: "SERVICE   PROFILE\nloja-web  tail\nbindings at revision 3\n"},
		{command: "profile retire tail", code: ExitRefused, output: "profile tail is in use by loja-web"},
		{command: "service unbind loja-web", output: "service loja-web is bound to no profile at revision 4\n"},
		{command: "service unbind loja-web", code: ExitNotFound, output: "loja-web: service is not bound to a profile"},
		{command: "profile retire tail", output: "profile tail retired at revision 5\n"},
		{command: "profile retire tail", code: ExitRefused, output: "profile is retired"},
		{command: "service bind loja-web tail", code: ExitRefused, output: "brings a retired profile back"},
		{command: "profile list", output: "tail     5         retired  ana"},
		{command: "profile apply " + good, storeFaults: kvtest.Faults{Unavailable: true}, code: ExitUnavailable,
			output: "the store cannot be reached"},
		{command: "profile apply " + changed, storeFaults: kvtest.Faults{LostRequests: 100}, code: ExitUncertain,
			output: "To repeat it safely, use the same author and --base 5."},
		{command: "profile frob", code: ExitInvalid, output: `unknown command "frob"`},
		{command: "--author= profile retire tail", code: ExitInvalid, output: "no author"},
	}
	for _, step := range steps {
		h.store.SetFaults(step.storeFaults)
		code, out, errs := h.run(strings.Fields(step.command)...)
		must.Eq(t, step.code, code, must.Sprintf("%s: %s%s", step.command, out, errs))
		must.StrContains(t, out+errs, step.output)
	}
}

// TestConflictAsJSON guards against JSON output that a script cannot parse when a command fails.
func TestConflictAsJSON(t *testing.T) {
	h := newHarness(t)
	h.run("profile", "apply", h.file("a.yaml", "name: tail\nshare: 1\n"))
	code, out, errs := h.run("--output", "json", "profile", "apply", "--base", "0", h.file("b.yaml", "name: tail\nshare: 2\n"))
	must.Eq(t, ExitConflict, code)
	must.Eq(t, "", errs)
	var output failureOutput
	must.NoError(t, json.Unmarshal([]byte(out), &output))
	must.Eq(t, "conflict", output.Error.Kind)
	must.Eq(t, 2, output.Error.Revision)
	must.StrContains(t, output.Error.Diff, "stored (revision 2 by ana)")
}

// TestProfileWait guards against a wait that ends before the revision is in force on every daemon, or that never ends.
func TestProfileWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		start := time.Now()
		inForceAfter := func(delay time.Duration) func() (entry.Status, error) {
			return func() (entry.Status, error) {
				if time.Since(start) < delay {
					return entry.Status{Node: "n", Profiles: map[string]int64{"tail": 4}}, nil
				}
				return entry.Status{Node: "n", Profiles: map[string]int64{"tail": 6}}, nil
			}
		}
		h.daemons["http://a"] = inForceAfter(0)
		h.daemons["http://b"] = inForceAfter(3 * time.Second)
		h.daemons["http://c"] = func() (entry.Status, error) { return entry.Status{}, errors.New("connection refused") }
		args := []string{"profile", "wait", "tail", "--revision", "5", "--entry", "http://a", "--entry", "http://b"}
		code, out, _ := h.run(args...)
		must.Eq(t, ExitOK, code)
		must.Eq(t, 3*time.Second, time.Since(start))
		must.StrContains(t, out, "in force on 2 of 2 daemons")
		code, out, errs := h.run(append(args, "--entry", "http://c")...)
		must.Eq(t, ExitTimeout, code)
		must.Eq(t, 14*time.Second, time.Since(start))
		must.StrContains(t, out, "http://c  -     0         connection refused")
		must.StrContains(t, errs, "in force on 2 of 3 daemons after 11s")
	})
}
