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

// A truncated segment must be read as a torn tail. A flipped bit must be detected, or be treated as
// a torn tail if it is in the last record.
func TestReaderTornTailsAndBitFlips(t *testing.T) {
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
		if seg.torn != (seg.validBytes < size) {
			t.Fatalf("cut at %d: torn %v, end %d", size, seg.torn, seg.validBytes)
		}
	}
	lastStart := len(whole) - frameBytes - entryBytes - len("second")
	for at := range whole {
		flipped := bytes.Clone(whole)
		flipped[at] ^= 1
		seg, err := readSegment("s", flipped, true)
		var corruption *CorruptionError
		if at < lastStart && (!errors.As(err, &corruption) || corruption.Offset > int64(at)) {
			t.Fatalf("flip at %d: %v", at, err)
		}
		if at >= lastStart && (err != nil || seg.validBytes != lastStart) {
			t.Fatalf("flip at %d in the last record: end %d, %v", at, seg.validBytes, err)
		}
	}
}

// A torn record whose payload contains a copy of a segment must be read as a torn tail, not as
// corruption.
func TestTornRecordContainingRecords(t *testing.T) {
	whole := sampleSegment()
	e := raft.Entry{Index: 3, Term: 3, Data: append([]byte{0}, whole...)}
	data := appendRecord(whole, 0, recordEntry, encodeEntry(e))
	seg, err := readSegment("s", data[:len(data)-1], true)
	if err != nil || seg.validBytes != len(whole) {
		t.Fatalf("end %d, %v", seg.validBytes, err)
	}
}

// FuzzReader checks that no input makes the reader panic, and that encoding the accepted records
// again gives the same bytes.
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
			st.applyRecord(r)
		}
		if !bytes.Equal(again, data[:seg.validBytes]) {
			t.Fatal("accepted records differ after encoding them again")
		}
		for i, e := range st.Entries {
			if e.Index != uint64(i)+1 {
				t.Fatalf("entry %d has index %d", i, e.Index)
			}
		}
	})
}
