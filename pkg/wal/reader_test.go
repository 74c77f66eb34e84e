package wal

import (
	"bytes"
	"errors"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

func sampleSegment() []byte {
	data := appendRecord(nil, 0, recordHeader, encodeHeader(header{magic: headerMagic, sequence: 1, store: 7}))
	data = appendRecord(data, 0, recordHardState, encodeHardState(raft.HardState{Term: 3, Vote: 2, Commit: 1}))
	data = appendRecord(data, 0, recordMarks, encodeMarks([]raft.Watermark{{ID: 2, Term: 3, Index: 4}}))
	data = appendRecord(data, 0, recordEntry, encodeEntry(raft.Entry{Index: 1, Term: 1, Data: []byte("first")}))
	return appendRecord(data, 0, recordEntry, encodeEntry(raft.Entry{Index: 2, Term: 3, Data: []byte("second")}))
}

// Every cut is a torn tail; every flipped bit is found.
func TestReaderCutsAndFinds(t *testing.T) {
	whole := sampleSegment()
	full, err := readSegment("s", whole, true)
	if err != nil || full.torn || len(full.records) != 5 {
		t.Fatalf("whole segment: %+v, %v", full, err)
	}
	for size := range whole {
		seg, err := readSegment("s", whole[:size], true)
		if err != nil {
			t.Fatalf("cut at %d: %v", size, err)
		}
		if seg.torn != (seg.end < size) {
			t.Fatalf("cut at %d: torn %v, end %d", size, seg.torn, seg.end)
		}
	}
	lastStart := len(whole) - frameBytes - entryBytes - len("second")
	for at := range whole {
		flipped := bytes.Clone(whole)
		flipped[at] ^= 1
		seg, err := readSegment("s", flipped, true)
		var damage *CorruptionError
		if at < lastStart && (!errors.As(err, &damage) || damage.Offset > int64(at)) {
			t.Fatalf("flip at %d: %v", at, err)
		}
		if at >= lastStart && (err != nil || seg.end != lastStart) {
			t.Fatalf("flip at %d in the last record: end %d, %v", at, seg.end, err)
		}
	}
}

// A torn command that holds a copy of a log is no damage.
func TestTornCommandMayHoldRecords(t *testing.T) {
	whole := sampleSegment()
	e := raft.Entry{Index: 3, Term: 3, Data: append([]byte{0}, whole...)}
	data := appendRecord(whole, 0, recordEntry, encodeEntry(e))
	seg, err := readSegment("s", data[:len(data)-1], true)
	if err != nil || seg.end != len(whole) {
		t.Fatalf("end %d, %v", seg.end, err)
	}
}

// FuzzReader: no input crashes the reader, and what it accepts is the same
// when written again.
func FuzzReader(f *testing.F) {
	whole := sampleSegment()
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		seg, err := readSegment("s", data, true)
		if err != nil {
			return
		}
		var again []byte
		st := &State{}
		for _, r := range seg.records {
			again = appendRecord(again, 0, r.kind, r.payload)
			st.apply(r)
		}
		if !bytes.Equal(again, data[:seg.end]) {
			t.Fatal("accepted records differ when written again")
		}
		for i, e := range st.Entries {
			if e.Index != uint64(i)+1 {
				t.Fatalf("entry %d has index %d", i, e.Index)
			}
		}
	})
}
