package fleet

import (
	"strconv"
	"strings"
)

// State is the lifecycle state of an upstream.
type State string

const (
	Ready    State = "ready"
	Draining State = "draining"
	// Gone is the state of an incarnation that deregistered, or whose address
	// another incarnation has taken over.
	Gone State = "gone"
)

// AssignmentState is the state of a host's assignment to a group.
type AssignmentState string

const (
	AssignmentJoining AssignmentState = "joining"
	AssignmentReady   AssignmentState = "ready"
	AssignmentOpen    AssignmentState = "open"
	AssignmentClosing AssignmentState = "closing"
	AssignmentBroken  AssignmentState = "broken"
)

// Assignment is a host's place in a group.
type Assignment struct {
	Group string          `json:"g"`
	Epoch int64           `json:"e"`
	Rank  int             `json:"r"` // 0: head of the group
	State AssignmentState `json:"s"`
}

// GroupName returns the name of a group. It starts with the model, so that the
// name alone tells which model the group serves.
func GroupName(model string, epoch int64) string {
	return model + groupNameSeparator + strconv.FormatInt(epoch, 10)
}

// ModelOf returns the model of a group, given the group's name.
func ModelOf(groupName string) string {
	model, _, _ := strings.Cut(groupName, groupNameSeparator)
	return model
}

const groupNameSeparator = "/"

// Upstream is one incarnation of a process that serves requests.
type Upstream struct {
	ID           string      `json:"id"`
	Service      string      `json:"svc"`
	Address      string      `json:"addr"` // host:port
	Zone         string      `json:"z"`
	FabricDomain string      `json:"d,omitempty"` // fabric within which groups run at full speed; empty: no groups
	StartedMS    int64       `json:"b,omitempty"` // start of the process in Unix milliseconds, by its own clock
	Sequence     int64       `json:"n"`           // increases with each announcement of an incarnation
	Slots        int         `json:"sl,omitempty"`
	State        State       `json:"st"`
	WarmupMS     int64       `json:"w,omitempty"` // remaining warm-up time at the announcement
	StagedModels []string    `json:"sg,omitempty"`
	Assignment   *Assignment `json:"seat,omitempty"`

	// LastGroup is the latest group in which this incarnation was ready. The
	// receiver of announcements maintains it; upstreams do not send it.
	LastGroup string `json:"lg,omitempty"`
	// Deregistered is set for a Gone upstream that announced its end: it still
	// finishes running requests. Without it, another process owns the address.
	Deregistered bool `json:"so,omitempty"`
	// Cordoned is set by the coordinator on a head whose group is being
	// dissolved: it gets no new requests.
	Cordoned bool `json:"x,omitempty"`
}

// NewerThan reports whether announcement u supersedes v, which has the same ID.
// The sequence numbers start over with each incarnation.
func (u *Upstream) NewerThan(v *Upstream) bool {
	if u.StartedMS != v.StartedMS {
		return u.StartedMS > v.StartedMS
	}
	return u.Sequence > v.Sequence
}

// Leaving reports whether the upstream has announced its end and may still
// finish running requests.
func (u *Upstream) Leaving() bool { return u.State == Draining || u.State == Gone && u.Deregistered }

// IsOpenHead reports whether the upstream is the head of an open group.
func (u *Upstream) IsOpenHead() bool {
	return u.Assignment != nil && u.Assignment.Rank == 0 && u.Assignment.State == AssignmentOpen
}

// openGroup returns the open group whose head the upstream is, or an empty string.
func (u *Upstream) openGroup() string {
	if !u.IsOpenHead() {
		return ""
	}
	return u.Assignment.Group
}

// TakesRequests reports whether entry hosts send requests to the upstream.
// Non-head members of groups, and engine hosts in no group, get none.
func (u *Upstream) TakesRequests() bool { return u.FabricDomain == "" || u.IsOpenHead() }

// routingDiffers reports whether the change from v to u affects routing by entry
// hosts.
func (u *Upstream) routingDiffers(v *Upstream) bool {
	if u.TakesRequests() != v.TakesRequests() {
		return true
	}
	if !u.TakesRequests() {
		return false
	}
	return u.becomesCold(v) || u.StartedMS != v.StartedMS || u.Address != v.Address || u.State != v.State || u.Service != v.Service || u.Zone != v.Zone ||
		u.Slots != v.Slots || u.Cordoned != v.Cordoned || u.openGroup() != v.openGroup()
}

// becomesCold reports whether the warm-up begins anew from v to u. What is left of it only decreases
// otherwise.
func (u *Upstream) becomesCold(v *Upstream) bool { return u.WarmupMS > v.WarmupMS }

// differs reports whether other coordinators must receive the change from v to u.
func (u *Upstream) differs(v *Upstream) bool {
	if u.StartedMS != v.StartedMS || u.Address != v.Address || u.State != v.State || u.Service != v.Service ||
		u.Zone != v.Zone || u.Slots != v.Slots || u.Cordoned != v.Cordoned || u.becomesCold(v) || (u.WarmupMS > 0) != (v.WarmupMS > 0) {
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

// LaterState returns the state that is later in the lifecycle; an incarnation
// never returns to an earlier one.
func LaterState(a, b State) State {
	rank := map[State]int{Ready: 0, Draining: 1, Gone: 2}
	if rank[a] > rank[b] {
		return a
	}
	return b
}
