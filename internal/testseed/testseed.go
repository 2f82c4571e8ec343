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

// Main runs the tests of a package and exits. It fixes the seed of rapid, so that every run checks the same
// scenarios, and sets the number of scenarios per test, unless the environment variable RAPID_FRESH is set.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if os.Getenv("RAPID_FRESH") == "" {
		_ = flag.Set("rapid.seed", seed)
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}

// Wait waits in the virtual time of a testing/synctest bubble; a duration that is not positive takes no time.
func Wait(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}
