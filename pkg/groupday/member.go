package groupday

import (
	"fmt"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// member is a fake engine.
type member struct {
	host    view.Host
	status  report.Status
	weights string // in memory or being fetched
	fetch   *fetch // nil if none runs
	loaded  bool   // weights are in memory
	downs   int    // faults that last
	fault   int    // counts faults, to tell a late notice
	fresh   bool   // comes back as a new process
	silent  bool   // the machine was told that it is lost
}

func newMember(h view.Host) *member {
	return &member{host: h, status: report.Status{Incarnation: h.Incarnation, Phase: report.PhaseIdle}}
}

func (m *member) up() bool { return m.downs == 0 }

// obey carries an order out.
func (m *member) obey(o order.Order, s *store) {
	if o.Kind == order.KindRelease {
		m.drop(s)
		return
	}
	key := fmt.Sprintf("%s/%d", o.Version, o.Rank)
	if m.weights != key {
		m.drop(s)
		m.weights = key
	}
	if !m.loaded && m.fetch == nil && o.LoadAllowed {
		m.fetch = s.begin(m, o.WeightsBytes)
	}
	m.status = report.Status{
		Incarnation: m.host.Incarnation,
		Group:       o.Group,
		Epoch:       o.Fence,
		Version:     o.Version,
		Adapters:    slices.Clone(o.Adapters),
		Rank:        o.Rank,
		Phase:       report.PhaseLoading,
	}
	if m.loaded {
		m.status.Phase = report.PhaseReady
	}
}

// finish ends its load.
func (m *member) finish() {
	m.fetch = nil
	m.loaded = true
	m.status.Phase = report.PhaseReady
}

// drop forgets role and weights.
func (m *member) drop(s *store) {
	if m.fetch != nil {
		s.cancel(m.fetch)
		m.fetch = nil
	}
	m.weights = ""
	m.loaded = false
	m.status = report.Status{Incarnation: m.host.Incarnation, Phase: report.PhaseIdle}
}

// restart makes it a new process.
func (m *member) restart(s *store) {
	m.host.Incarnation++
	m.drop(s)
}
