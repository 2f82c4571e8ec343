package delegation

import (
	"testing"

	"github.com/chivemill/chivemill/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 100) }
