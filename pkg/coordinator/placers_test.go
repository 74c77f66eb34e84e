package coordinator

import (
	"testing"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

func TestPlacersAreStableAndReplaced(t *testing.T) {
	service := &catalog.Service{Engine: &catalog.Engine{Models: []catalog.Model{{Name: "m0"}, {Name: "m1"}}}}
	eligible := []placerCandidate{{"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}}
	first := choosePlacers(service, nil, eligible)
	if first["m0"] == "" || first["m1"] == "" || first["m0"] == first["m1"] {
		t.Fatalf("placers %v, want one for each model on an entry host of its own", first)
	}
	reversed := []placerCandidate{eligible[2], eligible[1], eligible[0]}
	if again := choosePlacers(service, nil, reversed); again["m0"] != first["m0"] || again["m1"] != first["m1"] {
		t.Errorf("another leader chose %v, the first chose %v", again, first)
	}
	more := append([]placerCandidate{{"d", "d:1"}, {"e", "e:1"}}, eligible...)
	if kept := choosePlacers(service, first, more); kept["m0"] != first["m0"] || kept["m1"] != first["m1"] {
		t.Errorf("placers %v changed to %v though their entry hosts are available", first, kept)
	}
	var left []placerCandidate
	for _, c := range eligible {
		if c.address != first["m0"] {
			left = append(left, c)
		}
	}
	next := choosePlacers(service, first, left)
	if next["m0"] == first["m0"] || next["m0"] == "" || next["m1"] != first["m1"] {
		t.Errorf("placers %v after the loss of m0's, before %v", next, first)
	}
	if one := choosePlacers(service, first, left[:1]); one["m0"] != left[0].address || one["m1"] != left[0].address {
		t.Errorf("placers %v with a single entry host", one)
	}
	if none := choosePlacers(service, first, nil); len(none) != 0 {
		t.Errorf("placers %v without entry hosts", none)
	}
}
