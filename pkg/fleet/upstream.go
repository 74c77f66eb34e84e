package fleet

import (
	"strconv"
	"strings"
)

// State is what an upstream says of itself.
type State string

const (
	Ready    State = "ready"
	Draining State = "draining"
	// Gone is the state of an incarnation that signed off or was replaced at
	// its address.
	Gone State = "gone"
)

// AssignmentState is the state of a host's part in a group.
type AssignmentState string

const (
	AssignmentJoining AssignmentState = "joining"
	AssignmentReady   AssignmentState = "ready"
	AssignmentOpen    AssignmentState = "open"
	AssignmentClosing AssignmentState = "closing"
	AssignmentBroken  AssignmentState = "broken"
)

// Assignment is a host's part in a group.
type Assignment struct {
	Group string          `json:"g"`
	Epoch int64           `json:"e"`
	Rank  int             `json:"r"` // 0 is the head
	State AssignmentState `json:"s"`
}

// GroupName returns the name of a group: its model comes first, so that whoever
// hears of a group knows what it serves.
func GroupName(model string, epoch int64) string {
	return model + nameSeparator + strconv.FormatInt(epoch, 10)
}

// ModelOf returns the model of a group.
func ModelOf(groupName string) string {
	model, _, _ := strings.Cut(groupName, nameSeparator)
	return model
}

const nameSeparator = "/"

// Upstream is one incarnation of a process that serves requests.
type Upstream struct {
	ID           string      `json:"id"`
	Service      string      `json:"svc"`
	Address      string      `json:"addr"` // host:port
	Zone         string      `json:"z"`
	FabricDomain string      `json:"d,omitempty"` // fabric in which groups run at full speed
	StartedMS    int64       `json:"b,omitempty"` // start of the process, Unix milliseconds of its own clock
	Sequence     int64       `json:"n"`           // grows with each announcement of an incarnation
	Slots        int         `json:"sl,omitempty"`
	State        State       `json:"st"`
	WarmupMS     int64       `json:"w,omitempty"` // left of the warm-up when it was announced
	StagedModels []string    `json:"sg,omitempty"`
	Assignment   *Assignment `json:"seat,omitempty"`

	// LastGroup is the newest group that this incarnation was ready in. It is
	// kept by those who listen; the upstream does not say it.
	LastGroup string `json:"lg,omitempty"`
	// Deregistered says that a Gone upstream took its leave: it serves what runs
	// for a while longer. Otherwise another process has its address.
	Deregistered bool `json:"so,omitempty"`
	// Cordoned is set by the coordinator: the head's group is being taken
	// apart and gets no new requests.
	Cordoned bool `json:"x,omitempty"`
}

// NewerThan tells whether u is news after v, which has the same ID. An
// incarnation that starts again under its ID counts its announcements anew.
func (u *Upstream) NewerThan(v *Upstream) bool {
	if u.StartedMS != v.StartedMS {
		return u.StartedMS > v.StartedMS
	}
	return u.Sequence > v.Sequence
}

// Leaving tells whether the upstream said that it ends, and may still serve
// what runs.
func (u *Upstream) Leaving() bool { return u.State == Draining || u.State == Gone && u.Deregistered }

// IsOpenHead tells whether the upstream is the head of an open group.
func (u *Upstream) IsOpenHead() bool {
	return u.Assignment != nil && u.Assignment.Rank == 0 && u.Assignment.State == AssignmentOpen
}

// TakesRequests tells whether entry hosts send requests to the upstream: members of
// groups other than their heads, and hosts in no group, get none.
func (u *Upstream) TakesRequests() bool { return u.FabricDomain == "" || u.IsOpenHead() }

// servesOtherwise tells whether entry hosts must hear of u after v.
func (u *Upstream) servesOtherwise(v *Upstream) bool {
	if u.TakesRequests() != v.TakesRequests() {
		return true
	}
	if !u.TakesRequests() {
		return false
	}
	return u.StartedMS != v.StartedMS || u.Address != v.Address || u.State != v.State || u.Service != v.Service || u.Zone != v.Zone ||
		u.Slots != v.Slots || u.Cordoned != v.Cordoned || u.IsOpenHead() && u.Assignment.Group != v.Assignment.Group
}

// differs tells whether other coordinators must hear of u after v.
func (u *Upstream) differs(v *Upstream) bool {
	if u.StartedMS != v.StartedMS || u.Address != v.Address || u.State != v.State || u.Service != v.Service ||
		u.Zone != v.Zone || u.Slots != v.Slots || u.Cordoned != v.Cordoned || (u.WarmupMS > 0) != (v.WarmupMS > 0) {
		return true
	}
	if (u.Assignment == nil) != (v.Assignment == nil) || u.Assignment != nil && *u.Assignment != *v.Assignment {
		return true
	}
	if len(u.StagedModels) != len(v.StagedModels) {
		return true
	}
	for i := range u.StagedModels {
		if u.StagedModels[i] != v.StagedModels[i] {
			return true
		}
	}
	return false
}

// LaterState returns the later state of an incarnation's life: it never goes back.
func LaterState(a, b State) State {
	rank := map[State]int{Ready: 0, Draining: 1, Gone: 2}
	if rank[a] > rank[b] {
		return a
	}
	return b
}
