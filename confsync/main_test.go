package confsync_test

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/chivemill/chivemill/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.SetFlags(800)
	goleak.VerifyTestMain(m)
}
