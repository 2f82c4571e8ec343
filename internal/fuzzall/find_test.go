package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against property-based tests that are not run because they call rapid.Check through a helper, and against
// ordinary tests that are run, although they have no random input.
func TestFindJobs(t *testing.T) {
	dir := t.TempDir()
	source := `package p
func TestDirect(t *testing.T) { rapid.Check(t, nil) }
func TestIndirect(t *testing.T) { helper(t) }
func TestPlain(t *testing.T) { other(t) }
func helper(t *testing.T) { rapid.Check(t, nil) }
func other(t *testing.T) { other(t) }
func FuzzTarget(f *testing.F) { f.Fuzz(nil) }
`
	must.NoError(t, os.WriteFile(filepath.Join(dir, "p_test.go"), []byte(source), 0o600))
	jobs, err := findJobs([]listedPackage{{ImportPath: "p", Dir: dir, TestGoFiles: []string{"p_test.go"}}})
	must.NoError(t, err)
	must.Len(t, 2, jobs)
	must.Eq(t, "^(TestDirect|TestIndirect)$", jobs[0].pattern())
	must.Eq(t, "^FuzzTarget$", jobs[1].pattern())
}
