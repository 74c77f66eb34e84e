package routing

import (
	"testing"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

func good() Candidate {
	return Candidate{
		Target:      "group/a",
		Group:       view.Group{ID: "a", State: view.StateServing, Version: "v1", Adapters: []string{"x"}, FailureDomain: "fd"},
		FreePermits: 4,
		Bound:       8,
	}
}

func TestFilters(t *testing.T) {
	for _, c := range []struct {
		reason  string
		request Request
		change  func(*Candidate)
	}{
		{"", Request{Adapter: "x", Version: "v1"}, func(*Candidate) {}},
		{"serving", Request{}, func(c *Candidate) { c.Group.State = view.StateLoading }},
		{"version", Request{Version: "v2"}, func(*Candidate) {}},
		{"adapter", Request{Adapter: "y"}, func(*Candidate) {}},
		{"drained", Request{}, func(c *Candidate) { c.Group.Draining = true }},
		{"healthy", Request{}, func(c *Candidate) { c.Unhealthy = true }},
		{"excluded", Request{Excluded: []view.TargetID{"group/a"}}, func(*Candidate) {}},
		{"suspected", Request{}, func(c *Candidate) { c.HasTrial = true }},
		{"permit", Request{}, func(c *Candidate) { c.FreePermits = 0 }},
	} {
		candidate := good()
		c.change(&candidate)
		got := NewRouter().Choose(&c.request, []Candidate{candidate}, 1)
		if (got.Index == 0) != (c.reason == "") || got.Reason != c.reason {
			t.Errorf("%+v, want %q", got, c.reason)
		}
	}
}

func TestScores(t *testing.T) {
	for _, c := range []struct {
		name   string
		better func(*Candidate)
	}{
		{"prefix", func(c *Candidate) { c.PrefixHits = 5 }},
		{"own in flight", func(c *Candidate) { c.InFlight = 0 }},
		{"load", func(c *Candidate) { c.Load = report.Load{Running: 1} }},
		{"sent since", func(c *Candidate) { c.SentSince = 0 }},
		{"domain", func(c *Candidate) { c.Group.FailureDomain = "near" }},
	} {
		plain := good()
		plain.InFlight, plain.SentSince, plain.Load = 2, 2, report.Load{Running: 4}
		best := plain
		c.better(&best)
		r := &Request{FailureDomain: "near", Blocks: 10}
		for random := range uint64(4) {
			if got := NewRouter().Choose(r, []Candidate{plain, best, plain}, random); got.Index != 1 {
				t.Errorf("%s: chose %d", c.name, got.Index)
			}
		}
	}
}

func TestTiesAreSpread(t *testing.T) {
	seen := map[int]bool{}
	for random := range uint64(9) {
		seen[NewRouter().Choose(&Request{}, []Candidate{good(), good(), good()}, random).Index] = true
	}
	if len(seen) != 3 {
		t.Errorf("chose only %v", seen)
	}
}
