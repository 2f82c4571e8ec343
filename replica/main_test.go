package replica_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, unless RAPID_FRESH asks for a new one.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("RAPID_FRESH") == "" {
		_ = flag.Set("rapid.seed", "20250302")
	}
	os.Exit(m.Run())
}
