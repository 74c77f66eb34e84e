package group

import "github.com/sesamemux/sesamemux/pkg/view"

// loadPhase is a phase of loading the weights for a role.
type loadPhase int

const (
	loadNone    loadPhase = iota // nothing to load, or the load has been used for serving
	loadWaiting                  // held back by the schedule
	loadRunning                  // the host may load
	loadDone                     // loaded; the group has not served with it yet
)

// load is the loading of the weights for a host's role.
type load struct {
	Phase loadPhase
	Since view.Time // when Phase was entered
}

// allowed reports whether the host may load.
func (l load) allowed() bool { return l.Phase != loadWaiting }

// enterQueue adds a host to the load schedule according to its load phase.
func (m *Machine) enterQueue(h *host) {
	name := h.Info.Name
	m.indexRunning(h)
	switch {
	case h.Load.Phase == loadWaiting && h.Role.Spare != "":
		m.waitingSpares[name] = h
	case h.Load.Phase == loadWaiting:
		m.waitingLoads[h.Role.Group]++
	}
}

// leaveQueue removes a host from the load schedule.
func (m *Machine) leaveQueue(h *host) {
	delete(m.loadingHosts, h.Info.Name)
	delete(m.waitingSpares, h.Info.Name)
	if h.Load.Phase != loadWaiting || h.Role.Spare != "" {
		return
	}
	id := h.Role.Group
	m.waitingLoads[id]--
	if m.waitingLoads[id] <= 0 {
		delete(m.waitingLoads, id)
	}
}

// indexRunning updates the set of hosts that load.
func (m *Machine) indexRunning(h *host) {
	if h.Load.Phase == loadRunning && h.Present {
		m.loadingHosts[h.Info.Name] = h
	} else {
		delete(m.loadingHosts, h.Info.Name)
	}
}
