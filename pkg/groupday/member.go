package groupday

import (
	"fmt"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// member is a host with a fake engine.
type member struct {
	host         view.Host
	status       report.Status
	weightsKey   string // version and rank of the weights in memory or being fetched
	fetch        *fetch // nil if none is running
	loaded       bool   // the weights are in memory
	activeFaults int    // faults that have not ended; the host is up at 0
	faultCount   int    // identifies the latest fault, so that an older silence timeout has no effect
	willRestart  bool   // returns as a new process
	reportedLost bool   // the machine has been told that the host is lost
}

func newMember(h view.Host) *member {
	return &member{host: h, status: report.Status{Incarnation: h.Incarnation, Phase: report.PhaseIdle}}
}

func (m *member) up() bool { return m.activeFaults == 0 }

// applyOrder carries out an order of the machine.
func (m *member) applyOrder(o order.Order, s *weightsStore) {
	if o.Kind == order.KindRelease {
		m.reset(s)
		return
	}
	key := fmt.Sprintf("%s/%d", o.Version, o.Rank)
	if m.weightsKey != key {
		m.reset(s)
		m.weightsKey = key
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

// completeLoad marks the weights as loaded.
func (m *member) completeLoad() {
	m.fetch = nil
	m.loaded = true
	m.status.Phase = report.PhaseReady
}

// reset drops the weights and the place in a group.
func (m *member) reset(s *weightsStore) {
	if m.fetch != nil {
		s.cancel(m.fetch)
		m.fetch = nil
	}
	m.weightsKey = ""
	m.loaded = false
	m.status = report.Status{Incarnation: m.host.Incarnation, Phase: report.PhaseIdle}
}

// restart replaces the process: a new incarnation without weights.
func (m *member) restart(s *weightsStore) {
	m.host.Incarnation++
	m.reset(s)
}
