package view

import (
	"cmp"
	"slices"
)

// Entry is one value of a table with the revision of its last change.
type Entry[K cmp.Ordered, V any] struct {
	Key     K        `json:"k"`
	Value   V        `json:"v"`
	Changed Revision `json:"r"`
}

// Tombstone records that a key was removed from a table.
type Tombstone[K cmp.Ordered] struct {
	Key     K        `json:"k"`
	Removed Revision `json:"r"`
}

// Table is a map that records the revision at which each key changed or was
// removed, so that it can return the changes since a revision.
type Table[K cmp.Ordered, V any] struct {
	Entries    map[K]Entry[K, V]
	Tombstones map[K]Revision
}

// NewTable returns an empty table.
func NewTable[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{
		Entries:    make(map[K]Entry[K, V]),
		Tombstones: make(map[K]Revision),
	}
}

// Get returns the value of a key and whether the key exists.
func (t *Table[K, V]) Get(k K) (V, bool) {
	e, ok := t.Entries[k]
	return e.Value, ok
}

// Put sets the value of a key as of a revision.
func (t *Table[K, V]) Put(k K, v V, r Revision) {
	t.Entries[k] = Entry[K, V]{Key: k, Value: v, Changed: r}
	delete(t.Tombstones, k)
}

// Delete removes a key as of a revision.
func (t *Table[K, V]) Delete(k K, r Revision) {
	if _, ok := t.Entries[k]; !ok {
		return
	}
	delete(t.Entries, k)
	t.Tombstones[k] = r
}

// Keys returns all keys in order.
func (t *Table[K, V]) Keys() []K {
	keys := make([]K, 0, len(t.Entries))
	for k := range t.Entries {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int { return len(t.Entries) }

// Since returns the changes after a revision, in key order.
func (t *Table[K, V]) Since(r Revision) TableDelta[K, V] {
	var d TableDelta[K, V]
	for _, e := range t.Entries {
		if e.Changed > r {
			d.Put = append(d.Put, e)
		}
	}
	for k, removed := range t.Tombstones {
		if removed > r {
			d.Delete = append(d.Delete, Tombstone[K]{Key: k, Removed: removed})
		}
	}
	slices.SortFunc(d.Put, func(a, b Entry[K, V]) int { return cmp.Compare(a.Key, b.Key) })
	slices.SortFunc(d.Delete, func(a, b Tombstone[K]) int { return cmp.Compare(a.Key, b.Key) })
	return d
}

// Install applies a delta.
func (t *Table[K, V]) Install(d TableDelta[K, V]) {
	for _, e := range d.Put {
		t.Entries[e.Key] = e
		delete(t.Tombstones, e.Key)
	}
	for _, g := range d.Delete {
		delete(t.Entries, g.Key)
		t.Tombstones[g.Key] = g.Removed
	}
}

// Trim drops the tombstones up to a revision.
func (t *Table[K, V]) Trim(floor Revision) {
	for k, removed := range t.Tombstones {
		if removed <= floor {
			delete(t.Tombstones, k)
		}
	}
}

// withDelta returns a copy of the table with a delta applied, and leaves the table
// unchanged. For an empty delta it returns the table itself.
func (t *Table[K, V]) withDelta(d TableDelta[K, V]) *Table[K, V] {
	if d.Empty() {
		return t
	}
	n := t.Clone()
	n.Install(d)
	return n
}

// Clone returns a copy that shares values and has no tombstones.
func (t *Table[K, V]) Clone() *Table[K, V] {
	c := NewTable[K, V]()
	for k, e := range t.Entries {
		c.Entries[k] = e
	}
	return c
}

// TableDelta is a set of changes to a table.
type TableDelta[K cmp.Ordered, V any] struct {
	Put    []Entry[K, V]  `json:"put,omitempty"`
	Delete []Tombstone[K] `json:"del,omitempty"`
}

// Empty reports whether the delta holds no changes.
func (d TableDelta[K, V]) Empty() bool { return len(d.Put) == 0 && len(d.Delete) == 0 }
