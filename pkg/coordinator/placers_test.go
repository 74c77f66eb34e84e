package coordinator

import (
	"testing"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

func TestPlacersStayAndAreReplaced(t *testing.T) {
	service := &catalog.Service{Engine: &catalog.Engine{Models: []catalog.Model{{Name: "m0"}, {Name: "m1"}}}}
	able := []candidate{{"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}}
	first := choosePlacers(service, nil, able)
	if first["m0"] == "" || first["m1"] == "" || first["m0"] == first["m1"] {
		t.Fatalf("placers %v, want one for each model on an entry host of its own", first)
	}
	reversed := []candidate{able[2], able[1], able[0]}
	if again := choosePlacers(service, nil, reversed); again["m0"] != first["m0"] || again["m1"] != first["m1"] {
		t.Errorf("another leader chooses %v, the first chose %v", again, first)
	}
	more := append([]candidate{{"d", "d:1"}, {"e", "e:1"}}, able...)
	if kept := choosePlacers(service, first, more); kept["m0"] != first["m0"] || kept["m1"] != first["m1"] {
		t.Errorf("placers %v changed to %v though they are there", first, kept)
	}
	var left []candidate
	for _, c := range able {
		if c.address != first["m0"] {
			left = append(left, c)
		}
	}
	next := choosePlacers(service, first, left)
	if next["m0"] == first["m0"] || next["m0"] == "" || next["m1"] != first["m1"] {
		t.Errorf("placers %v after the loss of m0's, before %v", next, first)
	}
	if one := choosePlacers(service, first, left[:1]); one["m0"] != left[0].address || one["m1"] != left[0].address {
		t.Errorf("a single entry host places %v", one)
	}
	if none := choosePlacers(service, first, nil); len(none) != 0 {
		t.Errorf("placers %v without entry hosts", none)
	}
}
