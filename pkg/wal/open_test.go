package wal

import (
	"errors"
	"strings"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

func options(fs disk.FS, dir string) Options {
	return Options{FS: fs, Dir: dir, ClusterID: "c", ReplicaID: 1, Create: true, StoreID: 7, SegmentBytes: 200}
}

// filled returns a folder with several segments and a snapshot.
func filled(t *testing.T) *disk.Mem {
	t.Helper()
	mem := disk.NewMem(1)
	l, _, err := Open(options(mem, "data"))
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= 30; i++ {
		if err := l.Save(Batch{Entries: []raft.Entry{{Index: i, Term: 1, Data: []byte("entry")}}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.SaveSnapshot(raft.Snapshot{Meta: raft.SnapshotMeta{Index: 10, Term: 1}, Data: []byte("state")}); err != nil {
		t.Fatal(err)
	}
	if err := l.Compact(10); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return mem
}

func TestOpenRefuses(t *testing.T) {
	cases := map[string]struct {
		spoil func(mem *disk.Mem, o *Options)
		want  error
		text  string
	}{
		"empty folder": {func(_ *disk.Mem, o *Options) {
			o.Dir = "other"
			o.Create = false
		}, ErrNoStore, "remove this replica"},
		"other replica":    {func(_ *disk.Mem, o *Options) { o.ReplicaID = 2 }, ErrWrongStore, "replica 1"},
		"other cluster":    {func(_ *disk.Mem, o *Options) { o.ClusterID = "x" }, ErrWrongStore, `cluster "c"`},
		"identity lost":    {func(mem *disk.Mem, _ *Options) { _ = mem.Remove("data/identity.json") }, ErrNoStore, "data"},
		"identity damaged": {func(mem *disk.Mem, _ *Options) { mem.FlipBit("data/identity.json", 60) }, nil, "data/identity.json: offset 0"},
		"snapshot damaged": {func(mem *disk.Mem, _ *Options) { mem.FlipBit("data/"+snapshotName(10), 20) }, nil,
			"data/000000000000000a.snapshot: offset 0: snapshot has a wrong checksum"},
		"segment missing": {func(mem *disk.Mem, _ *Options) { _ = mem.Remove("data/" + segmentName(5)) }, nil,
			"data/0000000000000005.log: offset 0: segment is missing"},
		"damage in a closed segment": {func(mem *disk.Mem, _ *Options) { mem.FlipBit("data/"+segmentName(4), 150) }, nil,
			"data/0000000000000004.log: offset"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mem := filled(t)
			o := options(mem, "data")
			tc.spoil(mem, &o)
			_, _, err := Open(o)
			if err == nil || tc.want != nil && !errors.Is(err, tc.want) || !strings.Contains(err.Error(), tc.text) {
				t.Fatalf("got %v", err)
			}
			if _, err := mem.Lock("data/LOCK"); err != nil {
				t.Fatal("the folder stays locked")
			}
		})
	}
}

// Two processes on one folder of a real file system.
func TestSecondProcessIsRefused(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(options(disk.OS{}, dir))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(options(disk.OS{}, dir)); !errors.Is(err, disk.ErrLocked) {
		t.Fatalf("second: %v", err)
	}
	if err := l.Save(Batch{Entries: []raft.Entry{{Index: 1, Term: 1}}}); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l, st, err := Open(options(disk.OS{}, dir))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if len(st.Entries) != 1 || st.Identity.Incarnation != 2 {
		t.Fatalf("reopened: %+v", st)
	}
}

// After a failed sync nothing is written any more.
func TestFailedSyncIsFinal(t *testing.T) {
	mem := filled(t)
	l, _, err := Open(options(mem, "data"))
	if err != nil {
		t.Fatal(err)
	}
	mem.SetInjector(func(op disk.Operation, _ string) disk.Fault {
		if op == disk.OpSync {
			return disk.FailSync
		}
		return disk.NoFault
	})
	e := []raft.Entry{{Index: 31, Term: 1}}
	if err := l.Save(Batch{Entries: e}); !errors.Is(err, ErrFailed) {
		t.Fatalf("save: %v", err)
	}
	mem.SetInjector(nil)
	if err := l.Save(Batch{Entries: e}); !errors.Is(err, ErrFailed) {
		t.Fatalf("save again: %v", err)
	}
}
