package groups

import (
	"context"
	"os"
	"strings"
	"testing"
)

// TestMeasures runs the measures that take no more than seconds; with
// MEASURE=<part of a name> it runs and prints those of that name.
func TestMeasures(t *testing.T) {
	part, chosen := os.LookupEnv("MEASURE")
	for _, m := range Measures() {
		if chosen && !strings.Contains(m.Name, part) || !chosen && !quick(m.Name) {
			continue
		}
		variants, err := m.Run(context.Background())
		if err != nil {
			t.Fatal(m.Name, err)
		}
		t.Log(m.Name)
		for _, v := range variants {
			t.Logf("  %s", v.Name)
			for _, f := range v.Figures {
				t.Logf("    %-34s %12.1f %s", f.Name, f.Value, f.Unit)
			}
		}
	}
}

func quick(name string) bool {
	return name == "rollout" || strings.HasPrefix(name, "load order") || strings.HasPrefix(name, "failure domain")
}
