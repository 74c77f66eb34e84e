package placement

import "testing"

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name    string
		domains []Domain
		groups  map[string]int
		want    string
	}{
		{"none is large enough", []Domain{{"f0", "z0", 3}}, nil, ""},
		{"spares are kept first", []Domain{{"f0", "z0", 4}, {"f1", "z1", 5}}, map[string]int{"z1": 3}, "f1"},
		{"spares are used if need be", []Domain{{"f0", "z0", 4}}, nil, "f0"},
		{"failure domain with fewer groups", []Domain{{"f0", "z0", 9}, {"f1", "z1", 6}}, map[string]int{"z0": 1}, "f1"},
		{"more free hosts", []Domain{{"f0", "z0", 6}, {"f1", "z0", 9}}, nil, "f1"},
		{"first by name", []Domain{{"f1", "z0", 9}, {"f0", "z0", 9}}, nil, "f0"},
	} {
		s := NewInventory(c.groups)
		for _, d := range c.domains {
			s.Add(d)
		}
		if got, ok := s.Choose(4, 1); got != c.want || ok != (c.want != "") {
			t.Errorf("%s: got %q", c.name, got)
		}
	}
}

func TestChooseCountsWhatItGave(t *testing.T) {
	s := NewInventory(nil)
	s.Add(Domain{"f0", "z0", 9})
	s.Add(Domain{"f1", "z1", 9})
	given := map[string]int{}
	for range 4 {
		name, _ := s.Choose(4, 1)
		given[name]++
	}
	if given["f0"] != 2 || given["f1"] != 2 {
		t.Errorf("given %v", given)
	}
	if name, ok := s.Choose(4, 1); ok {
		t.Errorf("gave %s although no hosts are left", name)
	}
}
