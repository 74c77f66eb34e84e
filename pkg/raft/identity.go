package raft

import (
	"maps"
	"slices"
)

// Identity is what a replica durably knows of stores.
type Identity struct {
	Active  bool      // it may take part after a restart
	Initial []Member  // members at the first start; none for one that joined
	Stores  []Binding // stores seen under the initial members' IDs, by ID
}

// Binding ties a replica ID to a store.
type Binding struct {
	ID    ID
	Store uint64
}

func bindings(stores map[ID]uint64) []Binding {
	bs := make([]Binding, 0, len(stores))
	for _, id := range slices.Sorted(maps.Keys(stores)) {
		bs = append(bs, Binding{ID: id, Store: stores[id]})
	}
	return bs
}
