package confsync_test

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("RAPID_FRESH") == "" {
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "800")
	}
	goleak.VerifyTestMain(m)
}
