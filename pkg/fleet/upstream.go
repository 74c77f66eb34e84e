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

// SeatState is the state of a host's part in a group.
type SeatState string

const (
	SeatJoining SeatState = "joining"
	SeatReady   SeatState = "ready"
	SeatOpen    SeatState = "open"
	SeatClosing SeatState = "closing"
	SeatBroken  SeatState = "broken"
)

// Seat is a host's part in a group.
type Seat struct {
	Group string    `json:"g"`
	Epoch int64     `json:"e"`
	Rank  int       `json:"r"` // 0 is the head
	State SeatState `json:"s"`
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
	ID       string   `json:"id"`
	Service  string   `json:"svc"`
	Address  string   `json:"addr"` // host:port
	Zone     string   `json:"z"`
	Domain   string   `json:"d,omitempty"` // fabric in which groups run at full speed
	Born     int64    `json:"b,omitempty"` // start of the process, Unix milliseconds of its own clock
	Sequence int64    `json:"n"`           // grows with each announcement of an incarnation
	Slots    int      `json:"sl,omitempty"`
	State    State    `json:"st"`
	WarmupMS int64    `json:"w,omitempty"` // left of the warm-up when it was announced
	Staged   []string `json:"sg,omitempty"`
	Seat     *Seat    `json:"seat,omitempty"`

	// LastGroup is the newest group that this incarnation was ready in. It is
	// kept by those who listen; the upstream does not say it.
	LastGroup string `json:"lg,omitempty"`
	// SignedOff says that a Gone upstream took its leave: it serves what runs
	// for a while longer. Otherwise another process has its address.
	SignedOff bool `json:"so,omitempty"`
	// Barred is set by the coordinator: the head's group is being taken
	// apart and gets no new requests.
	Barred bool `json:"x,omitempty"`
}

// Newer tells whether u is news after v, which has the same ID. An
// incarnation that starts again under its ID counts its announcements anew.
func (u *Upstream) Newer(v *Upstream) bool {
	if u.Born != v.Born {
		return u.Born > v.Born
	}
	return u.Sequence > v.Sequence
}

// Leaving tells whether the upstream said that it ends, and may still serve
// what runs.
func (u *Upstream) Leaving() bool { return u.State == Draining || u.State == Gone && u.SignedOff }

// Leads tells whether the upstream is the head of an open group.
func (u *Upstream) Leads() bool {
	return u.Seat != nil && u.Seat.Rank == 0 && u.Seat.State == SeatOpen
}

// Serves tells whether entry hosts send requests to the upstream: members of
// groups other than their heads, and hosts in no group, get none.
func (u *Upstream) Serves() bool { return u.Domain == "" || u.Leads() }

// servesOtherwise tells whether entry hosts must hear of u after v.
func (u *Upstream) servesOtherwise(v *Upstream) bool {
	if u.Serves() != v.Serves() {
		return true
	}
	if !u.Serves() {
		return false
	}
	return u.Born != v.Born || u.Address != v.Address || u.State != v.State || u.Service != v.Service || u.Zone != v.Zone ||
		u.Slots != v.Slots || u.Barred != v.Barred || u.Leads() && u.Seat.Group != v.Seat.Group
}

// differs tells whether other coordinators must hear of u after v.
func (u *Upstream) differs(v *Upstream) bool {
	if u.Born != v.Born || u.Address != v.Address || u.State != v.State || u.Service != v.Service ||
		u.Zone != v.Zone || u.Slots != v.Slots || u.Barred != v.Barred || (u.WarmupMS > 0) != (v.WarmupMS > 0) {
		return true
	}
	if (u.Seat == nil) != (v.Seat == nil) || u.Seat != nil && *u.Seat != *v.Seat {
		return true
	}
	if len(u.Staged) != len(v.Staged) {
		return true
	}
	for i := range u.Staged {
		if u.Staged[i] != v.Staged[i] {
			return true
		}
	}
	return false
}

// Later returns the later state of an incarnation's life: it never goes back.
func Later(a, b State) State {
	rank := map[State]int{Ready: 0, Draining: 1, Gone: 2}
	if rank[a] > rank[b] {
		return a
	}
	return b
}
