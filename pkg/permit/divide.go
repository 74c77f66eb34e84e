package permit

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// minMove is the smallest number of permits moved to a gate that already has some.
const minMove = 2

// demandWeight is the weight of a unit of demand, relative to the base weight of a
// gate.
const demandWeight = 8

// desired returns the division of the target's bound by the demand of the gates.
// Gates without demand and permits get a part only while the maximum number of
// holders is not reached.
func (a *Allocator) desired(t *target) map[view.GateName]int {
	n := t.Bound - orphanedPermits(t.Orphans)
	if len(a.gates) == len(a.leaving) || n <= 0 {
		return nil
	}
	limit := a.maxHolders(t)
	claims := a.claims(t)
	for rank, g := range a.gateOrder(t) {
		if len(claims) >= limit {
			break
		}
		if !slices.ContainsFunc(claims, func(w claim) bool { return w.gate == g }) {
			claims = append(claims, claim{gate: g, rank: rank, weight: 1})
		}
	}
	return apportion(n, limit, claims)
}

// claims returns the claims of the gates with demand or permits, or none if the
// sharing policy ignores demand. Gates that hold permits win ties.
func (a *Allocator) claims(t *target) []claim {
	if a.options.Sharing != SharingDemand {
		return nil
	}
	var claims []claim
	for i := range t.Holdings {
		h := &t.Holdings[i]
		if h.demand() == 0 && h.Permits == 0 || a.leaving[h.Gate] {
			continue
		}
		w := claim{gate: h.Gate, rank: i, weight: 1 + demandWeight*h.demand()}
		if h.Permits > 0 {
			w.rank -= len(t.Holdings)
		}
		claims = append(claims, w)
	}
	return claims
}

// gateOrder returns the gates in the target's rendezvous order, cached until the
// set of gates changes.
func (a *Allocator) gateOrder(t *target) []view.GateName {
	if t.orderedAt != a.generation {
		t.ordered, t.orderedAt = rendezvous(t.ID, a.gateNames()), a.generation
	}
	return t.ordered
}

// maxHolders returns how many gates may share the target.
func (a *Allocator) maxHolders(t *target) int {
	switch a.options.Sharing {
	case SharingOwner:
		return 1
	case SharingEqual:
		return len(a.gates)
	default:
		return max(1, t.Bound/a.options.MinPermits)
	}
}

// worthMoving reports whether a division would give a gate with queued requests
// enough additional permits to justify a change.
func (t *target) worthMoving(desired map[view.GateName]int) bool {
	for i := range t.Holdings {
		h := &t.Holdings[i]
		missing := desired[h.Gate] - h.Permits
		if h.Queued > 0 && missing > 0 && (h.Permits == 0 || missing >= max(minMove, h.Permits/4)) {
			return true
		}
	}
	return false
}

// lowerTo lowers every gate that holds more than its desired permits.
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

// raiseTo raises gates towards their desired permits as far as the bound allows
// now, the largest shortfall first.
func (a *Allocator) raiseTo(t *target, desired map[view.GateName]int) bool {
	free := t.free()
	if a.options.Unsafe.RaiseBeforeSettled {
		free = t.unassigned()
	}
	changed := false
	for _, g := range gatesByShortfall(t, desired) {
		h := t.holding(g)
		reuse := h.Exposed - h.Permits
		if a.options.Unsafe.RaiseBeforeSettled {
			reuse = 0
		}
		granted := min(desired[g]-h.Permits, reuse+max(free, 0))
		if granted <= 0 {
			continue
		}
		h.raise(h.Permits + granted)
		free -= max(0, granted-reuse)
		changed = true
	}
	return changed
}

// unassigned returns the part of the bound that exceeds the published permits.
func (t *target) unassigned() int {
	n := t.Bound
	for i := range t.Holdings {
		n -= t.Holdings[i].Permits
	}
	return n
}

// gatesByShortfall returns the gates below their desired permits, the largest
// shortfall first.
func gatesByShortfall(t *target, desired map[view.GateName]int) []view.GateName {
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
