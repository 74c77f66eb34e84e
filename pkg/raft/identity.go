package raft

import (
	"maps"
	"slices"
)

// Identity is a replica's durable knowledge of stores.
type Identity struct {
	Active  bool      // set once it has taken part; later handshakes need not reach every member
	Initial []Member  // members at the first start; empty for a replica that joined later
	Stores  []Binding // stores of the initial members, sorted by ID
}

// Binding assigns a store to a replica ID.
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
