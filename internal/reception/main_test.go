package reception

import (
	"testing"

	"github.com/chivemill/chivemill/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 200) }
