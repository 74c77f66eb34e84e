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
// for.
func (a *Allocator) desired(t *target) map[view.GateName]int {
	gates := a.gateNames()
	n := t.Bound - orphanSum(t.Orphans)
	if len(gates) == 0 || n <= 0 {
		return nil
	}
	wants := make([]want, 0, len(gates))
	for rank, g := range rendezvous(t.ID, gates) {
		w := want{gate: g, rank: rank, weight: 1}
		if i, ok := t.find(g); ok && a.options.Sharing == SharingDemand {
			h := &t.Holdings[i]
			w.weight = 1 + weightScale*h.demand()
			if h.Permits > 0 {
				w.rank -= len(gates)
			}
		}
		wants = append(wants, w)
	}
	return apportion(n, a.holderLimit(t), wants)
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
	if a.options.Unguarded.RaiseBeforeSettled {
		free = t.unpublished()
	}
	changed := false
	for _, g := range byMissing(t, desired) {
		h := t.holding(g)
		reuse := h.Exposed - h.Permits
		if a.options.Unguarded.RaiseBeforeSettled {
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
