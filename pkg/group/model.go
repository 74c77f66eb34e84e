package group

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// model is a wanted model group with its instances.
type model struct {
	want         object.ModelGroup
	adapters     []string // sorted
	weights      int64
	removed      bool // no longer wanted; stays until its groups are gone
	groups       map[view.GroupID]*group
	tally        tally
	inDomain     map[string]int // groups that are not dissolving, by failure domain
	surplusSince view.Time      // 0 while there is none
	spareVersion string         // version that spares hold or are to
	blocked      bool           // the rollout can't go on without going under the minimum
}

func newModel() *model {
	return &model{groups: make(map[view.GroupID]*group), inDomain: make(map[string]int)}
}

// outdated tells whether a group differs from what is wanted.
func (m *model) outdated(g *group) bool {
	return m.reshaped(g) || g.Version != m.want.Version || !slices.Equal(g.Adapters, m.adapters)
}

// reshaped tells whether a group can't become what is wanted in its place.
func (m *model) reshaped(g *group) bool {
	return m.removed || len(g.Seats) != m.want.HostsPerGroup || !m.allows(g.FailureDomain)
}

// allows tells whether groups may stand in a failure domain.
func (m *model) allows(failureDomain string) bool {
	return len(m.want.FailureDomains) == 0 || slices.Contains(m.want.FailureDomains, failureDomain)
}

// sorted gives the model's groups by ID.
func (m *model) sorted() []*group {
	all := make([]*group, 0, len(m.groups))
	for _, g := range m.groups {
		all = append(all, g)
	}
	slices.SortFunc(all, byID)
	return all
}
