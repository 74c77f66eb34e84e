package catalog

import (
	"errors"
	"testing"
	"time"
)

func validSet() *Set {
	return &Set{
		Version:  3,
		Services: []Service{{Name: "models"}, {Name: "orders"}},
		Routes: []Route{
			{Name: "a", Host: "x.example", Prefix: "/", Timeout: time.Second, Backends: []Backend{{"orders", 1}}},
			{Name: "b", Host: "x.example", Prefix: "/deep/", Timeout: time.Second, Backends: []Backend{{"models", 9}, {"orders", 1}}},
		},
		Organisations: []Organisation{{Name: "o1", Keys: []string{"k1", "k2"}}, {Name: "o2", Keys: []string{"k3"}}},
	}
}

func TestCheckRejectsInvalidSets(t *testing.T) {
	if err := validSet().Check(); err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(*Set){
		"unknown service":    func(s *Set) { s.Routes[0].Backends[0].Service = "gone" },
		"same place":         func(s *Set) { s.Routes[1].Prefix = "/" },
		"weights add to 0":   func(s *Set) { s.Routes[0].Backends[0].Weight = 0 },
		"no timeout":         func(s *Set) { s.Routes[0].Timeout = 0 },
		"shared key":         func(s *Set) { s.Organisations[1].Keys[0] = "k1" },
		"prefix ends open":   func(s *Set) { s.Routes[1].Prefix = "/deep" },
		"no backend":         func(s *Set) { s.Routes[1].Backends = nil },
		"service named once": func(s *Set) { s.Services[1].Name = "models" },
	} {
		s := validSet()
		invalidate(s)
		if err := s.Check(); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	x := NewIndex(validSet())
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/deep/1", "b"},
		{"X.Example:80", "/deep/", "b"},
		{"x.example", "/deep", "a"},
		{"y.example", "/deep/1", ""},
	} {
		r := x.Route(c.host, c.path)
		if got := ""; r != nil {
			got = r.Name
			if got != c.want {
				t.Errorf("%s%s: %s, want %s", c.host, c.path, got, c.want)
			}
		} else if c.want != "" {
			t.Errorf("%s%s: no route, want %s", c.host, c.path, c.want)
		}
	}
	if x.Organisation("k2").Name != "o1" || x.Organisation("k9") != nil {
		t.Error("API keys are not mapped to their organisations")
	}
}
