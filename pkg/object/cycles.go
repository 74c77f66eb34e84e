package object

import (
	"slices"
	"strings"
)

// cycles rejects reference cycles: requests along a cycle could hold every permit on
// it while they wait for each other. Each cycle is reported once, at the reference
// that closes it.
func (c *checker) cycles() {
	edges := make(map[Ref][]reference)
	var order []Ref
	for _, r := range referencesOf(c.set) {
		if edges[r.from] == nil {
			order = append(order, r.from)
		}
		edges[r.from] = append(edges[r.from], r)
	}
	state := make(map[Ref]visit)
	for _, start := range order {
		c.findCycles(start, edges, state)
	}
}

// visit is the state of an object in the depth-first search.
type visit int

const (
	unseen visit = iota
	onPath
	done
)

// step is one object on the search path and the index of its next reference to follow.
type step struct {
	ref  Ref
	next int
}

// findCycles searches depth first for cycles that are reachable from start. It doesn't
// recurse, since a reference chain can be as long as the set.
func (c *checker) findCycles(start Ref, edges map[Ref][]reference, state map[Ref]visit) {
	if state[start] != unseen {
		return
	}
	path := []step{{ref: start}}
	state[start] = onPath
	for len(path) > 0 {
		top := &path[len(path)-1]
		if top.next == len(edges[top.ref]) {
			state[top.ref] = done
			path = path[:len(path)-1]
			continue
		}
		e := edges[top.ref][top.next]
		top.next++
		switch state[e.to] {
		case unseen:
			state[e.to] = onPath
			path = append(path, step{ref: e.to})
		case onPath:
			c.add(e.from, e.field, "cycle of references: %s", describeCycle(path, e.to))
		}
	}
}

// describeCycle lists the objects of the cycle that starts and ends at to.
func describeCycle(path []step, to Ref) string {
	const maxListed = 20 // objects listed
	i := slices.IndexFunc(path, func(s step) bool { return s.ref == to })
	var names []string
	for _, s := range path[i:] {
		names = append(names, "["+s.ref.String()+"]")
	}
	if len(names) > maxListed {
		names = append(names[:maxListed], "...")
	}
	names = append(names, "["+to.String()+"]")
	return strings.Join(names, " -> ")
}
