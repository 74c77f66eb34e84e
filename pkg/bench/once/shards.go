package once

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/sesamemux/sesamemux/pkg/bench"
	machine "github.com/sesamemux/sesamemux/pkg/once"
)

// answerSize is the size in bytes of a recorded answer in the measure of several quorums.
const answerSize = 200

// shards measures recorded calls, each an intent and a conclusion, over 1, 2 and 4 quorums. Each
// quorum has the same number of callers.
func (e scale) shards(ctx context.Context) ([]bench.Variant, error) {
	var variants []bench.Variant
	for _, n := range []int{1, 2, 4} {
		rate, err := e.shardRate(ctx, n)
		if err != nil {
			return nil, err
		}
		variants = append(variants, bench.Variant{
			Name:     fmt.Sprintf("quorums of 3: %d", n),
			Baseline: n == 1,
			Figures: []bench.Figure{
				{Name: "recorded calls", Value: rate, Unit: "1/s"},
				{Name: "recorded calls per quorum", Value: rate / float64(n), Unit: "1/s"},
			},
		})
	}
	return variants, nil
}

func (e scale) shardRate(ctx context.Context, n int) (rate float64, err error) {
	quorums := make([]*quorum, n)
	defer func() {
		for _, q := range quorums {
			if q != nil {
				err = errors.Join(err, q.Close())
			}
		}
	}()
	for i := range quorums {
		if quorums[i], err = newQuorum(false); err != nil {
			return 0, err
		}
	}
	var next atomic.Int64
	return throughput(n*callers, e.duration, func() error {
		x := intent(int(next.Add(1)))
		slot := machine.Slot(x.Organisation, x.Service, x.Key)
		return recordCall(ctx, records{backend: quorums[machine.Quorum(slot, n)]}, x)
	})
}

// recordCall records the intent of a call and then its conclusion.
func recordCall(ctx context.Context, r records, x machine.Intent) error {
	d, err := r.Intend(ctx, x)
	if err != nil {
		return err
	}
	if d.Kind != machine.Run {
		return fmt.Errorf("intent of new key %s: decision is %s, want run", x.Key, d.Kind)
	}
	return r.Conclude(ctx, conclusion(x, answerSize))
}
