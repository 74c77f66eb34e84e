package wal

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// content is what a folder should hold.
type content struct {
	hardState raft.HardState
	marks     []raft.Watermark
	snapshot  uint64
	entries   []raft.Entry
}

func (c content) last() uint64 {
	return c.snapshot + uint64(len(c.entries))
}

func (c content) with(e raft.Entry) content {
	c.entries = append(slices.Clone(c.entries[:e.Index-c.snapshot-1]), e)
	return c
}

func contentOf(st *State) content {
	return content{hardState: st.HardState, marks: st.Marks, snapshot: st.Snapshot.Meta.Index, entries: st.Entries}
}

func (c content) equal(o content) bool {
	return c.hardState == o.hardState && c.snapshot == o.snapshot &&
		slices.Equal(c.marks, o.marks) &&
		slices.EqualFunc(c.entries, o.entries, func(a, b raft.Entry) bool { return reflect.DeepEqual(a, b) })
}

// folder is the system under test with its model.
type folder struct {
	mem   *disk.Mem
	log   *Log
	model content
	term  uint64
	armed bool
}

func (f *folder) options() Options {
	return Options{FS: f.mem, Dir: "data", ClusterID: "c", ReplicaID: 1, Create: true, StoreID: 7, SegmentBytes: 300}
}

func (f *folder) open(t *rapid.T) *State {
	l, st, err := Open(f.options())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	f.log = l
	return st
}

// arm lets a fault strike one of the next operations.
func (f *folder) arm(t *rapid.T) {
	left := rapid.IntRange(0, 5).Draw(t, "operations before the fault")
	kind := rapid.SampledFrom([]disk.Fault{disk.CrashBefore, disk.CrashAfter, disk.FailSync, disk.Full}).Draw(t, "fault")
	f.armed = true
	f.mem.SetInjector(func(op disk.Operation, _ string) disk.Fault {
		left--
		if left >= 0 || op == disk.OpRemove && kind == disk.FailSync {
			return disk.NoFault
		}
		return kind
	})
}

// settle compares after an operation; a failed one may have left any of the
// given contents, and the folder is opened again.
func (f *folder) settle(t *rapid.T, err error, done content, possible ...content) {
	if err == nil {
		f.model = done
		return
	}
	if !f.armed {
		t.Fatalf("failed without a fault: %v", err)
	}
	f.mem.SetInjector(nil)
	f.armed = false
	f.mem.Crash()
	f.mem.Restart()
	got := contentOf(f.open(t))
	for _, c := range append(possible, f.model, done) {
		if got.equal(c) {
			f.model = c
			return
		}
	}
	t.Fatalf("holds %+v\nwas %+v\nwanted %+v", got, f.model, done)
}

func (f *folder) save(t *rapid.T) {
	f.term += rapid.Uint64Range(0, 1).Draw(t, "term step")
	next := f.model
	var possible []content
	b := Batch{}
	if rapid.Bool().Draw(t, "marks") {
		b.Marks = []raft.Watermark{{ID: 2, Term: f.term, Index: next.last()}}
		next.marks = b.Marks
		possible = append(possible, next)
	}
	if rapid.Bool().Draw(t, "hard state") {
		b.HardState = &raft.HardState{Term: f.term, Vote: 1, Commit: next.snapshot}
		next.hardState = *b.HardState
		possible = append(possible, next)
	}
	from := rapid.Uint64Range(next.snapshot+1, next.last()+1).Draw(t, "from")
	for i := range rapid.Uint64Range(0, 4).Draw(t, "entries") {
		e := raft.Entry{Index: from + i, Term: f.term, Data: []byte(fmt.Sprint("entry ", from+i, " of ", f.term))}
		b.Entries = append(b.Entries, e)
		next = next.with(e)
		possible = append(possible, next)
	}
	f.settle(t, f.log.Save(b), next, possible...)
}

// snapshot takes one of the log's own state.
func (f *folder) snapshot(t *rapid.T) {
	if len(f.model.entries) == 0 {
		t.Skip("empty")
	}
	at := rapid.IntRange(0, len(f.model.entries)-1).Draw(t, "at")
	e := f.model.entries[at]
	next := f.model
	next.snapshot = e.Index
	next.entries = next.entries[at+1:]
	err := f.log.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: e.Index, Term: e.Term}, Data: []byte("state")})
	if err == nil {
		err = f.log.Compact(e.Index)
	}
	f.settle(t, err, next)
}

// install takes a leader's snapshot that the log doesn't lead up to.
func (f *folder) install(t *rapid.T) {
	f.term++
	index := f.model.snapshot + rapid.Uint64Range(1, 8).Draw(t, "ahead")
	next := f.model
	next.snapshot = index
	next.entries = nil
	err := f.log.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: index, Term: f.term}, Data: []byte("state")})
	if err == nil {
		err = f.log.Save(Batch{Reset: true})
	}
	if err == nil {
		err = f.log.Compact(index)
	}
	f.settle(t, err, next)
}

func (f *folder) reopen(t *rapid.T) {
	f.mem.SetInjector(nil)
	f.armed = false
	f.mem.Crash()
	f.mem.Restart()
	if got := contentOf(f.open(t)); !got.equal(f.model) {
		t.Fatalf("holds %+v\nwanted %+v", got, f.model)
	}
}

// reopenUnderFault lets a start break off, and the next one succeed.
func (f *folder) reopenUnderFault(t *rapid.T) {
	f.mem.Crash()
	f.mem.Restart()
	before := f.log.Identity().Incarnation
	f.arm(t)
	l, st, err := Open(f.options())
	f.mem.SetInjector(nil)
	f.armed = false
	if err != nil {
		f.mem.Crash()
		f.mem.Restart()
		st = f.open(t)
	} else {
		f.log = l
	}
	if got := contentOf(st); !got.equal(f.model) {
		t.Fatalf("holds %+v\nwanted %+v", got, f.model)
	}
	if st.Identity.Incarnation <= before {
		t.Fatalf("incarnation %d after %d", st.Identity.Incarnation, before)
	}
}

// What Save returned for survives every crash; of a batch that failed a part
// from its start may.
func TestLogUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &folder{mem: disk.NewMem(rapid.Uint64().Draw(t, "seed")), term: 1}
		f.open(t)
		t.Repeat(map[string]func(*rapid.T){
			"save":     f.save,
			"snapshot": f.snapshot,
			"install":  f.install,
			"reopen":   f.reopen,
			"arm":      f.arm,

			"reopen under a fault": f.reopenUnderFault,
		})
	})
}
