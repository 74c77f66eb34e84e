package formation

import (
	"fmt"
	"sort"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// Summary says in short which groups stand and form, and what the free hosts
// hold.
func (p *Planner) Summary() string {
	groups := map[string]int{}
	for _, g := range p.groups {
		groups[g.model+":"+phaseNames[g.phase]]++
	}
	free := map[string]int{}
	for _, h := range p.hosts {
		if h.group != nil || h.State == fleet.Gone {
			continue
		}
		switch {
		case h.dead:
			free["dead"]++
		case h.State == fleet.Draining:
			free["draining"]++
		case p.evacuated[h.Zone]:
			free["evacuated"]++
		case h.staging != "":
			free["staging "+h.staging]++
		case len(h.StagedModels) > 0:
			free["with "+h.StagedModels[len(h.StagedModels)-1]]++
		default:
			free["empty"]++
		}
	}
	return "groups " + counts(groups) + "; free hosts " + counts(free)
}

var phaseNames = map[phase]string{
	forming: "forming", opening: "opening", standing: "standing", draining: "draining", retiring: "retiring",
}

func counts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(m))
	for _, n := range names {
		parts = append(parts, fmt.Sprintf("%s=%d", n, m[n]))
	}
	return strings.Join(parts, " ")
}
