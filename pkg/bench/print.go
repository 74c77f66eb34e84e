package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the figures of each variant, with the ratio of each to the baseline's figure of the
// same name.
func Print(w io.Writer, variants []Variant) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, v := range variants {
		name := v.Name
		if v.Baseline {
			name += " (baseline)"
		}
		for _, f := range v.Figures {
			fmt.Fprintf(t, "  %s\t%s\t%.4g\t%s\t%s\n", name, f.Name, f.Value, f.Unit, ratio(variants, v, f))
			name = ""
		}
	}
	_ = t.Flush()
}

// ratio formats the ratio of a figure to the baseline's figure of the same name. It is empty for the
// baseline itself and where the baseline has no such figure or it is 0.
func ratio(variants []Variant, v Variant, f Figure) string {
	if v.Baseline {
		return ""
	}
	for _, other := range variants {
		if !other.Baseline {
			continue
		}
		for _, base := range other.Figures {
			if base.Name == f.Name && base.Value != 0 {
				return fmt.Sprintf("x%.3g", f.Value/base.Value)
			}
		}
	}
	return ""
}
