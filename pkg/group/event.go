package group

import (
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Event is what a Machine is told.
type Event interface{ event() }

// ObjectsPublished says that a set of objects is in force from now on.
type ObjectsPublished struct{ Set object.Set }

// HostSeen says that a host is new, changed or returned.
type HostSeen struct{ Host view.Host }

// HostLost says that no gate heard of a host's incarnation for too long.
type HostLost struct {
	Host        view.HostName
	Incarnation view.Incarnation
}

// StatusReported tells what a host runs.
type StatusReported struct {
	Host   view.HostName
	Status report.Status
}

// SlownessReported says that a member works far slower than its peers. A later
// one with Slow false takes it back.
type SlownessReported struct {
	Host        view.HostName
	Incarnation view.Incarnation
	Slow        bool
}

// DrainChanged says that an operator took something out or back in.
type DrainChanged struct {
	Kind    view.DrainKind
	Name    string
	Drained bool
}

// BarrierPassed says that no gate that may take work has a lower view in
// force.
type BarrierPassed struct{ Revision view.Revision }

// GroupSettled says that no gate has work running on a draining group.
type GroupSettled struct {
	ID    view.GroupID
	Epoch view.Epoch
}

// Ticked lets time pass. It comes about once a second.
type Ticked struct{}

func (ObjectsPublished) event() {}
func (HostSeen) event()         {}
func (HostLost) event()         {}
func (StatusReported) event()   {}
func (SlownessReported) event() {}
func (DrainChanged) event()     {}
func (BarrierPassed) event()    {}
func (GroupSettled) event()     {}
func (Ticked) event()           {}
