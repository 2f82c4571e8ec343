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

// Main calls SetFlags, runs the tests of a package and exits.
func Main(m *testing.M, checks int) {
	SetFlags(checks)
	os.Exit(m.Run())
}

// SetFlags sets a fixed seed for rapid, so that every run checks the same cases, and the number of cases per test. If
// the environment variable RAPID_FRESH is set, it sets neither. Failing cases are printed with their seed and not
// written to a file. SetFlags must be called once, before the tests run.
func SetFlags(checks int) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if os.Getenv("RAPID_FRESH") != "" {
		return
	}
	_ = flag.Set("rapid.seed", rapidSeed)
	_ = flag.Set("rapid.checks", strconv.Itoa(checks))
}

// Sleep waits for the duration in the virtual time of a testing/synctest bubble. It returns immediately if the duration
// is not positive.
func Sleep(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}
