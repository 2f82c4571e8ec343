package entry

import (
	"flag"
	"os"
	"testing"
	"time"
)

// TestMain fixes the seed of rapid, so that every run checks the same scenarios, unless RAPID_FRESH is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("RAPID_FRESH") == "" {
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "3000")
	}
	os.Exit(m.Run())
}

// sleep waits in the virtual time of a testing/synctest bubble.
func sleep(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}
