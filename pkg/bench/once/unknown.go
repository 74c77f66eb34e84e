package once

import (
	"context"
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/bench"
	proved "github.com/sesamemux/sesamemux/pkg/prove/once"
)

// unknown measures the share of the calls that a fault strikes whose outcome
// stays unknown, for each kind of fault: with services that can't be asked, that can be asked, and that
// also bar a key that did not run.
func (e effort) unknown(context.Context) ([]bench.Variant, error) {
	var variants []bench.Variant
	for _, a := range proved.OutcomeQueries() {
		v := bench.Variant{Name: string(a), Baseline: a == proved.QueryUnsupported}
		for _, fault := range proved.UnknownFaults() {
			share, err := proved.UnknownShare(fault, a, e.seeds)
			if err != nil {
				return nil, err
			}
			v.Figures = append(v.Figures, bench.Figure{Name: fmt.Sprintf("unknown, %s", fault), Value: 100 * share, Unit: "%"})
		}
		variants = append(variants, v)
	}
	return variants, nil
}
