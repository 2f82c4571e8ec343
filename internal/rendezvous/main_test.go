package rendezvous_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the rapid tests unless fresh seeds are asked for.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("RAPID_FRESH") == "" {
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "200")
	}
	os.Exit(m.Run())
}
