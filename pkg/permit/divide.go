package permit

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// leastMove is the least that is worth moving to a gate that has permits.
const leastMove = 2

// weightScale makes a gate's demand outweigh its standing part.
const weightScale = 8

// desired is the division of the target's bound that the gates' demand asks
// for. Gates without demand and permits count only as far as the others leave
// room for further holders.
func (a *Allocator) desired(t *target) map[view.GateName]int {
	n := t.Bound - orphanSum(t.Orphans)
	if len(a.gates) == len(a.leaving) || n <= 0 {
		return nil
	}
	limit := a.holderLimit(t)
	wants := a.wanting(t)
	for rank, g := range a.order(t) {
		if len(wants) >= limit {
			break
		}
		if !slices.ContainsFunc(wants, func(w want) bool { return w.gate == g }) {
			wants = append(wants, want{gate: g, rank: rank, weight: 1})
		}
	}
	return apportion(n, limit, wants)
}

// wanting lists the gates with demand or permits, if these count. Those with
// permits go first among equals.
func (a *Allocator) wanting(t *target) []want {
	if a.options.Sharing != SharingDemand {
		return nil
	}
	var wants []want
	for i := range t.Holdings {
		h := &t.Holdings[i]
		if h.demand() == 0 && h.Permits == 0 || a.leaving[h.Gate] {
			continue
		}
		w := want{gate: h.Gate, rank: i, weight: 1 + weightScale*h.demand()}
		if h.Permits > 0 {
			w.rank -= len(t.Holdings)
		}
		wants = append(wants, w)
	}
	return wants
}

// order is the target's rendezvous order of the gates, kept while the gates
// stay the same.
func (a *Allocator) order(t *target) []view.GateName {
	if t.orderedAt != a.generation {
		t.ordered, t.orderedAt = rendezvous(t.ID, a.gateNames()), a.generation
	}
	return t.ordered
}

// holderLimit is the number of gates that may share the target.
func (a *Allocator) holderLimit(t *target) int {
	switch a.options.Sharing {
	case SharingOwner:
		return 1
	case SharingEqual:
		return len(a.gates)
	default:
		return max(1, t.Bound/a.options.MinPermits)
	}
}

// worthMoving tells whether a division differs enough from the permits that
// stand, to the good of a gate that has work waiting.
func (t *target) worthMoving(desired map[view.GateName]int) bool {
	for i := range t.Holdings {
		h := &t.Holdings[i]
		missing := desired[h.Gate] - h.Permits
		if h.Queued > 0 && missing > 0 && (h.Permits == 0 || missing >= max(leastMove, h.Permits/4)) {
			return true
		}
	}
	return false
}

// lowerTo lowers every gate above its desired part.
func (t *target) lowerTo(desired map[view.GateName]int, rev view.Revision) bool {
	changed := false
	for i := range t.Holdings {
		h := &t.Holdings[i]
		if h.Permits > desired[h.Gate] {
			h.lower(desired[h.Gate], rev)
			changed = true
		}
	}
	return changed
}

// raiseTo raises gates towards their desired part as far as the bound allows
// now, the largest need first.
func (a *Allocator) raiseTo(t *target, desired map[view.GateName]int) bool {
	free := t.free()
	if a.options.Unsafe.RaiseBeforeSettled {
		free = t.unpublished()
	}
	changed := false
	for _, g := range byMissing(t, desired) {
		h := t.holding(g)
		reuse := h.Exposed - h.Permits
		if a.options.Unsafe.RaiseBeforeSettled {
			reuse = 0
		}
		give := min(desired[g]-h.Permits, reuse+max(free, 0))
		if give <= 0 {
			continue
		}
		h.raise(h.Permits + give)
		free -= max(0, give-reuse)
		changed = true
	}
	return changed
}

// unpublished is the part of the bound above the published permits.
func (t *target) unpublished() int {
	n := t.Bound
	for i := range t.Holdings {
		n -= t.Holdings[i].Permits
	}
	return n
}

// byMissing lists the gates below their desired part, the largest need first.
func byMissing(t *target, desired map[view.GateName]int) []view.GateName {
	var gates []view.GateName
	missing := make(map[view.GateName]int)
	for g, d := range desired {
		permits := 0
		if i, ok := t.find(g); ok {
			permits = t.Holdings[i].Permits
		}
		if d > permits {
			gates = append(gates, g)
			missing[g] = d - permits
		}
	}
	slices.SortFunc(gates, func(x, y view.GateName) int {
		return cmp.Or(cmp.Compare(missing[y], missing[x]), cmp.Compare(x, y))
	})
	return gates
}
