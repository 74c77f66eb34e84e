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

// storeContent is the expected content of a store.
type storeContent struct {
	hardState raft.HardState
	marks     []raft.Watermark
	snapshot  uint64
	entries   []raft.Entry
}

func (c storeContent) last() uint64 {
	return c.snapshot + uint64(len(c.entries))
}

func (c storeContent) with(e raft.Entry) storeContent {
	c.entries = append(slices.Clone(c.entries[:e.Index-c.snapshot-1]), e)
	return c
}

func contentOf(st *State) storeContent {
	return storeContent{hardState: st.HardState, marks: st.Marks, snapshot: st.Snapshot.Meta.Index, entries: st.Entries}
}

func (c storeContent) equal(o storeContent) bool {
	return c.hardState == o.hardState && c.snapshot == o.snapshot &&
		slices.Equal(c.marks, o.marks) &&
		slices.EqualFunc(c.entries, o.entries, func(a, b raft.Entry) bool { return reflect.DeepEqual(a, b) })
}

// testStore is the store under test together with its model.
type testStore struct {
	mem        *disk.Mem
	log        *Log
	model      storeContent
	term       uint64
	faultArmed bool
}

func (f *testStore) options() Options {
	return Options{FS: f.mem, Dir: "data", ClusterID: "c", ReplicaID: 1, Create: true, StoreID: 7, SegmentBytes: 300}
}

func (f *testStore) open(t *rapid.T) *State {
	l, st, err := Open(f.options())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	f.log = l
	return st
}

// armFault injects a fault into one of the next operations.
func (f *testStore) armFault(t *rapid.T) {
	left := rapid.IntRange(0, 5).Draw(t, "operations before the fault")
	kind := rapid.SampledFrom([]disk.Fault{disk.CrashBefore, disk.CrashAfter, disk.FailSync, disk.Full}).Draw(t, "fault")
	f.faultArmed = true
	f.mem.SetInjector(func(op disk.Operation, _ string) disk.Fault {
		left--
		if left >= 0 || op == disk.OpRemove && kind == disk.FailSync {
			return disk.NoFault
		}
		return kind
	})
}

// checkResult checks the content after an operation. If the operation failed, it reopens the store,
// which may then hold its former content, the intended one or any in possible.
func (f *testStore) checkResult(t *rapid.T, err error, done storeContent, possible ...storeContent) {
	if err == nil {
		f.model = done
		return
	}
	if !f.faultArmed {
		t.Fatalf("operation failed without an injected fault: %v", err)
	}
	f.mem.SetInjector(nil)
	f.faultArmed = false
	f.mem.Crash()
	f.mem.Restart()
	got := contentOf(f.open(t))
	for _, c := range append(possible, f.model, done) {
		if got.equal(c) {
			f.model = c
			return
		}
	}
	t.Fatalf("store holds %+v\nheld before %+v\nwant %+v", got, f.model, done)
}

func (f *testStore) save(t *rapid.T) {
	f.term += rapid.Uint64Range(0, 1).Draw(t, "term step")
	next := f.model
	var possible []storeContent
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
	f.checkResult(t, f.log.Save(b), next, possible...)
}

// takeSnapshot saves a snapshot of the log's own state and compacts the log.
func (f *testStore) takeSnapshot(t *rapid.T) {
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
	f.checkResult(t, err, next)
}

// installSnapshot saves a snapshot of a leader that conflicts with the log, and resets the log.
func (f *testStore) installSnapshot(t *rapid.T) {
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
	f.checkResult(t, err, next)
}

func (f *testStore) reopen(t *rapid.T) {
	f.mem.SetInjector(nil)
	f.faultArmed = false
	f.mem.Crash()
	f.mem.Restart()
	if got := contentOf(f.open(t)); !got.equal(f.model) {
		t.Fatalf("store holds %+v\nwant %+v", got, f.model)
	}
}

// reopenUnderFault injects a fault into Open. If Open fails, the next one must succeed.
func (f *testStore) reopenUnderFault(t *rapid.T) {
	f.mem.Crash()
	f.mem.Restart()
	before := f.log.Identity().Incarnation
	f.armFault(t)
	l, st, err := Open(f.options())
	f.mem.SetInjector(nil)
	f.faultArmed = false
	if err != nil {
		f.mem.Crash()
		f.mem.Restart()
		st = f.open(t)
	} else {
		f.log = l
	}
	if got := contentOf(st); !got.equal(f.model) {
		t.Fatalf("store holds %+v\nwant %+v", got, f.model)
	}
	if st.Identity.Incarnation <= before {
		t.Fatalf("incarnation is %d, want more than %d", st.Identity.Incarnation, before)
	}
}

// Everything for which Save returned successfully survives every crash. Of a batch that failed,
// only a prefix may survive.
func TestLogUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &testStore{mem: disk.NewMem(rapid.Uint64().Draw(t, "seed")), term: 1}
		f.open(t)
		t.Repeat(map[string]func(*rapid.T){
			"save":     f.save,
			"snapshot": f.takeSnapshot,
			"install":  f.installSnapshot,
			"reopen":   f.reopen,
			"arm":      f.armFault,

			"reopen under a fault": f.reopenUnderFault,
		})
	})
}
