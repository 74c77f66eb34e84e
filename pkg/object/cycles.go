package object

import (
	"slices"
	"strings"
)

// cycles refuses chains of references that return to their start: work along
// such a chain could hold every permit on it while it waits for itself. Each
// cycle is told once, at the reference that closes it.
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
		c.walk(start, edges, state)
	}
}

// visit is how far a walk over the references got with an object.
type visit int

const (
	unseen visit = iota
	onPath
	done
)

// step is one object on the walk's path and its next reference to follow.
type step struct {
	ref  Ref
	next int
}

// walk follows references depth first, without recursion: chains may be as
// long as the set.
func (c *checker) walk(start Ref, edges map[Ref][]reference, state map[Ref]visit) {
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

// describeCycle names the objects from one on the path round to itself.
func describeCycle(path []step, to Ref) string {
	const most = 20 // objects named
	i := slices.IndexFunc(path, func(s step) bool { return s.ref == to })
	var names []string
	for _, s := range path[i:] {
		names = append(names, "["+s.ref.String()+"]")
	}
	if len(names) > most {
		names = append(names[:most], "...")
	}
	names = append(names, "["+to.String()+"]")
	return strings.Join(names, " -> ")
}
