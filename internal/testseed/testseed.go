// Package testseed fixes the random seed of stateful tests.
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"
)

// seed is the seed of every stateful test.
const seed = "20261204"

// Main runs the tests of a package as Fix says and exits.
func Main(m *testing.M, checks int) {
	Fix(checks)
	os.Exit(m.Run())
}

// Fix fixes the seed of rapid, so that every run checks the same scenarios, and sets the number of scenarios per test,
// unless the environment variable RAPID_FRESH is set. It is called once, before the tests run. A failing scenario is
// printed with its seed and not written to a file.
func Fix(checks int) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if os.Getenv("RAPID_FRESH") != "" {
		return
	}
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", strconv.Itoa(checks))
}

// Wait waits in the virtual time of a testing/synctest bubble; a duration that is not positive takes no time.
func Wait(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}
