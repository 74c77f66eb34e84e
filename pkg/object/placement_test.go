package object

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestPlacementAgreesWithBruteForce compares the placement check with an exhaustive
// search on small generated sets: sets that fit must be accepted, all others rejected.
func TestPlacementAgreesWithBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Set{Versions: []Version{{Name: "v", Model: "m", WeightsBytes: 1}}}
		for _, name := range []string{"a", "b"} {
			s.FailureDomains = append(s.FailureDomains, FailureDomain{Name: name, Region: "r"})
		}
		for i := range rapid.IntRange(1, 3).Draw(t, "fabric domains") {
			s.FabricDomains = append(s.FabricDomains, FabricDomain{
				Name:          fmt.Sprint("f", i),
				FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "place"),
				Hosts:         rapid.IntRange(1, 7).Draw(t, "hosts"),
			})
		}
		for i := range rapid.IntRange(1, 3).Draw(t, "model groups") {
			m := defaultModelGroup(fmt.Sprint("m", i))
			m.Version = "v"
			m.Copies = rapid.IntRange(1, 3).Draw(t, "copies")
			m.HostsPerGroup = rapid.IntRange(1, 4).Draw(t, "size")
			m.FailureDomains = rapid.SampledFrom([][]string{nil, {"a"}, {"b"}, {"a", "b"}}).Draw(t, "within")
			s.ModelGroups = append(s.ModelGroups, m)
		}
		refused := false
		for _, p := range Check(s, nil) {
			if p.Field != "copies" || !strings.Contains(p.Message, "fabric domains") {
				t.Fatal(p)
			}
			refused = true
		}
		if fits := placeAll(s, freeHosts(s), 0, 0); fits == refused {
			t.Fatalf("fits %v, refused %v: %+v %+v", fits, refused, s.FabricDomains, s.ModelGroups)
		}
	})
}

func freeHosts(s Set) []int {
	var free []int
	for _, f := range s.FabricDomains {
		free = append(free, f.Hosts)
	}
	return free
}

// placeAll tries every fabric domain for each copy in turn.
func placeAll(s Set, free []int, group, copied int) bool {
	if group == len(s.ModelGroups) {
		return true
	}
	m := s.ModelGroups[group]
	if copied == m.Copies {
		return placeAll(s, free, group+1, 0)
	}
	for i, f := range s.FabricDomains {
		allowed := len(m.FailureDomains) == 0
		for _, name := range m.FailureDomains {
			allowed = allowed || name == f.FailureDomain
		}
		if !allowed || free[i] < m.HostsPerGroup {
			continue
		}
		free[i] -= m.HostsPerGroup
		found := placeAll(s, free, group, copied+1)
		free[i] += m.HostsPerGroup
		if found {
			return true
		}
	}
	return false
}
