package quarantine

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that all runs make the same checks.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
