package once

import (
	"context"
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/bench"
	proved "github.com/sesamemux/sesamemux/pkg/prove/once"
)

// unknownOutcomes measures, for each kind of fault, which share of the calls affected by it keep an
// unknown outcome: with services that can't be asked for an outcome, that can be asked, and that also
// bar a key that did not run.
func (e scale) unknownOutcomes(context.Context) ([]bench.Variant, error) {
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
