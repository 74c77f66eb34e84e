package group

import (
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Event is an input of the Machine.
type Event interface{ event() }

// ObjectsPublished puts a set of objects in force.
type ObjectsPublished struct{ Set object.Set }

// HostSeen reports that a host is new, has changed or has returned.
type HostSeen struct{ Host view.Host }

// HostLost reports that no gate has heard from a host's incarnation for too long.
type HostLost struct {
	Host        view.HostName
	Incarnation view.Incarnation
}

// StatusReported reports what a host runs.
type StatusReported struct {
	Host   view.HostName
	Status report.Status
}

// SlownessReported reports that a member works far slower than its peers. A later event with Slow
// false withdraws the report.
type SlownessReported struct {
	Host        view.HostName
	Incarnation view.Incarnation
	Slow        bool
}

// DrainChanged reports that an operator drained or restored an upstream or a failure domain.
type DrainChanged struct {
	Kind    view.DrainKind
	Name    string
	Drained bool
}

// BarrierPassed reports that no gate that may take work has a lower view in force.
type BarrierPassed struct{ Revision view.Revision }

// GroupSettled reports that no gate has work running on a draining group.
type GroupSettled struct {
	ID    view.GroupID
	Epoch view.Epoch
}

// Ticked lets time pass. The driver sends it about once a second.
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
