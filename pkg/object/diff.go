package object

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Action is how an object changed between two sets.
type Action string

// The actions of a Difference.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// FieldChange is one changed field with its old and new text.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Difference is one object that differs between two sets.
type Difference struct {
	Action Action        `json:"action"`
	Object string        `json:"object"` // as in the section header
	Fields []FieldChange `json:"fields,omitempty"`
}

// String formats the difference as text, one indented line per field.
func (d Difference) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s [%s]", d.Action, d.Object)
	for _, f := range d.Fields {
		fmt.Fprintf(&b, "\n  %s: %q -> %q", f.Field, f.Old, f.New)
	}
	return b.String()
}

// Diff lists the objects that differ, ordered by kind and name.
func Diff(before, after Set) []Difference {
	old := byRef(&before)
	var list []refDifference
	for _, it := range after.items() {
		oldItem, ok := old[it.ref]
		delete(old, it.ref)
		if !ok {
			list = append(list, refDifference{it.ref, Difference{Action: Added, Object: it.ref.String()}})
			continue
		}
		if fields := diffFields(oldItem, it); len(fields) > 0 {
			list = append(list, refDifference{it.ref, Difference{Action: Changed, Object: it.ref.String(), Fields: fields}})
		}
	}
	for ref := range old {
		list = append(list, refDifference{ref, Difference{Action: Removed, Object: ref.String()}})
	}
	slices.SortFunc(list, compareRefs)
	result := make([]Difference, len(list))
	for i := range list {
		result[i] = list[i].Difference
	}
	return result
}

// refDifference is a Difference with the reference that it is sorted by.
type refDifference struct {
	ref Ref
	Difference
}

func compareRefs(a, b refDifference) int {
	return cmp.Or(
		cmp.Compare(slices.Index(kinds, a.ref.Kind), slices.Index(kinds, b.ref.Kind)),
		cmp.Compare(a.ref.Name, b.ref.Name),
	)
}

func byRef(s *Set) map[Ref]item {
	m := make(map[Ref]item)
	for _, it := range s.items() {
		m[it.ref] = it
	}
	return m
}

func diffFields(old, now item) []FieldChange {
	var list []FieldChange
	for i, f := range now.fields {
		before, after := old.fields[i].Get(), f.Get()
		if before != after {
			list = append(list, FieldChange{Field: f.Key, Old: before, New: after})
		}
	}
	return list
}
