package once

import (
	"context"
	"errors"

	"github.com/sesamemux/sesamemux/pkg/bench"
)

// callVariant is one of the compared ways to make a call.
type callVariant struct {
	name     string
	path     string
	baseline bool
	backend  func() (backend, error)
}

// cost compares once-only calls over several kinds of log with an ordinary call.
func (e scale) cost(ctx context.Context) ([]bench.Variant, error) {
	var variants []bench.Variant
	for _, w := range []callVariant{
		{"ordinary call", ordinaryPath, true, func() (backend, error) { return newMemoryLog(), nil }},
		{"once-only, no log", oncePath, false, func() (backend, error) { return newMemoryLog(), nil }},
		{"once-only, one file, a sync each", oncePath, false, func() (backend, error) { return newFileLog() }},
		{"once-only, three replicas, a sync each", oncePath, false, func() (backend, error) { return newQuorum(true) }},
		{"once-only, three replicas, group commit", oncePath, false, func() (backend, error) { return newQuorum(false) }},
	} {
		figures, err := e.measureCall(ctx, w)
		if err != nil {
			return nil, err
		}
		variants = append(variants, bench.Variant{Name: w.name, Baseline: w.baseline, Figures: figures})
	}
	return variants, nil
}

func (e scale) measureCall(ctx context.Context, w callVariant) (figures []bench.Figure, err error) {
	b, err := w.backend()
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, b.Close()) }()
	r, err := newRig(b)
	if err != nil {
		return nil, err
	}
	defer r.close()
	return r.measure(ctx, w.path, e.calls, e.duration)
}
