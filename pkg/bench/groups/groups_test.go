package groups

import (
	"context"
	"os"
	"strings"
	"testing"
)

// TestMeasures runs the measures that take only seconds. With MEASURE=<part of a name> it runs those
// whose name contains that part. It prints the figures.
func TestMeasures(t *testing.T) {
	part, chosen := os.LookupEnv("MEASURE")
	for _, m := range Measures() {
		if chosen && !strings.Contains(m.Name, part) || !chosen && !runsByDefault(m.Name) {
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

func runsByDefault(name string) bool {
	return name == "rollout" || strings.HasPrefix(name, "load order") || strings.HasPrefix(name, "failure domain")
}
