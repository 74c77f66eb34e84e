package group

import "github.com/sesamemux/sesamemux/pkg/view"

// loadPhase is a step of fetching weights for a role.
type loadPhase int

const (
	loadNone    loadPhase = iota // nothing to fetch, or its work was of use
	loadWaiting                  // the schedule holds it back
	loadRunning                  // the host may fetch
	loadDone                     // fetched; the group has not served with it yet
)

// load is the fetching of weights for a host's role.
type load struct {
	Phase loadPhase
	Since view.Time // when Phase began
}

// allowed tells whether the host may fetch.
func (l load) allowed() bool { return l.Phase != loadWaiting }

// enterQueue enters a host in the load schedule as its load stands.
func (m *Machine) enterQueue(h *host) {
	name := h.Info.Name
	m.indexRunning(h)
	switch {
	case h.Load.Phase == loadWaiting && h.Role.Spare != "":
		m.idle[name] = h
	case h.Load.Phase == loadWaiting:
		m.waiting[h.Role.Group]++
	}
}

// leaveQueue takes a host out of the load schedule.
func (m *Machine) leaveQueue(h *host) {
	delete(m.running, h.Info.Name)
	delete(m.idle, h.Info.Name)
	if h.Load.Phase != loadWaiting || h.Role.Spare != "" {
		return
	}
	id := h.Role.Group
	m.waiting[id]--
	if m.waiting[id] <= 0 {
		delete(m.waiting, id)
	}
}

// indexRunning keeps the set of hosts that fetch.
func (m *Machine) indexRunning(h *host) {
	if h.Load.Phase == loadRunning && h.Present {
		m.running[h.Info.Name] = h
	} else {
		delete(m.running, h.Info.Name)
	}
}
