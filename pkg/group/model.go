package group

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// model is a declared model group with its instances.
type model struct {
	spec         object.ModelGroup
	adapters     []string // sorted
	weights      int64
	removed      bool // no longer declared; kept until its groups are gone
	groups       map[view.GroupID]*group
	counts       counts
	inDomain     map[string]int // number of groups that are not dissolving, by failure domain
	surplusSince view.Time      // 0 while there is no surplus
	spareVersion string         // version that spares hold or are to load
	blocked      bool           // the rollout can't proceed without falling below the minimum
}

func newModel() *model {
	return &model{groups: make(map[view.GroupID]*group), inDomain: make(map[string]int)}
}

// outdated reports whether a group differs from the declaration.
func (m *model) outdated(g *group) bool {
	return m.needsRecreation(g) || g.Version != m.spec.Version || !slices.Equal(g.Adapters, m.adapters)
}

// needsRecreation reports whether a group can't be brought to the declaration in place.
func (m *model) needsRecreation(g *group) bool {
	return m.removed || len(g.Ranks) != m.spec.HostsPerGroup || !m.allows(g.FailureDomain)
}

// allows reports whether groups may be placed in a failure domain.
func (m *model) allows(failureDomain string) bool {
	return len(m.spec.FailureDomains) == 0 || slices.Contains(m.spec.FailureDomains, failureDomain)
}

// sorted returns the model's groups by ID.
func (m *model) sorted() []*group {
	all := make([]*group, 0, len(m.groups))
	for _, g := range m.groups {
		all = append(all, g)
	}
	slices.SortFunc(all, byID)
	return all
}
