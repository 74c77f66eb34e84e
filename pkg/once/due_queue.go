package once

import (
	"container/heap"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// dueItem is a record whose state ends at a given time. It is stale if the record has a different
// due time by now.
type dueItem struct {
	at view.Time
	id recordKey
}

// dueQueue orders records by due time, then by organisation and key.
type dueQueue []dueItem

// Len implements heap.Interface.
func (q dueQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q dueQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.id.organisation != b.id.organisation {
		return a.id.organisation < b.id.organisation
	}
	return a.id.key < b.id.key
}

// Swap implements heap.Interface.
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) { *q = append(*q, x.(dueItem)) }

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func (q *dueQueue) add(r *record) { heap.Push(q, dueItem{at: r.Due, id: r.id()}) }
func (q *dueQueue) removeFirst()  { heap.Pop(q) }
