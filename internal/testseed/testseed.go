// Package testseed sets a fixed random seed for property-based tests.
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"
)

// rapidSeed is the seed of all property-based tests.
const rapidSeed = "20261204"

// Main calls Fix, runs the tests of a package and exits.
func Main(m *testing.M, checks int) {
	Fix(checks)
	os.Exit(m.Run())
}

// Fix sets a fixed seed for rapid, so that every run checks the same cases, and the number of cases per test. If the
// environment variable RAPID_FRESH is set, it sets neither. Failing cases are printed with their seed and not written to a
// file. Fix must be called once, before the tests run.
func Fix(checks int) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if os.Getenv("RAPID_FRESH") != "" {
		return
	}
	_ = flag.Set("rapid.seed", rapidSeed)
	_ = flag.Set("rapid.checks", strconv.Itoa(checks))
}

// Wait waits for the duration in the virtual time of a testing/synctest bubble. It returns immediately if the duration is
// not positive.
func Wait(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}
