package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

type recordType uint8

const (
	recordHeader recordType = iota + 1
	recordEntry
	recordHardState
	recordMarks
	recordReset // what was written before no longer counts, but for the hard state
)

const (
	frameBytes     = 9 // length, checksum, type
	maxRecordBytes = 64 << 20
	entryBytes     = 17 // index, term, type
	hardStateBytes = 24
	markBytes      = 24
	headerBytes    = 24 // magic, sequence, store
	headerMagic    = 0x736573616d653031
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one checksummed unit of a segment.
type record struct {
	kind    recordType
	payload []byte
}

// appendRecord frames a payload: length (4), CRC-32C (4), type (1), payload.
// Numbers are little-endian. The checksum covers the record's place in the
// file too, so that bytes of a record elsewhere, such as within a command, are
// never taken for one. base is the place of buf in the file.
func appendRecord(buf []byte, base int, kind recordType, payload []byte) []byte {
	sum := recordChecksum(base+len(buf), kind, payload)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, sum)
	buf = append(buf, byte(kind))
	return append(buf, payload...)
}

func recordChecksum(offset int, kind recordType, payload []byte) uint32 {
	var place [9]byte
	binary.LittleEndian.PutUint64(place[:], uint64(offset))
	place[8] = byte(kind)
	return crc32.Update(checksum(place[:]), castagnoli, payload)
}

func checksum(data []byte) uint32 {
	return crc32.Checksum(data, castagnoli)
}

// parseRecord reads the record at an offset of a file and returns its whole
// length, or false when there is no valid one.
func parseRecord(file []byte, offset int) (record, int, bool) {
	data := file[offset:]
	if len(data) < frameBytes {
		return record{}, 0, false
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size > maxRecordBytes || len(data)-frameBytes < size {
		return record{}, 0, false
	}
	kind := recordType(data[8])
	payload := data[frameBytes : frameBytes+size]
	if !wellFormed(kind, payload) || binary.LittleEndian.Uint32(data[4:]) != recordChecksum(offset, kind, payload) {
		return record{}, 0, false
	}
	return record{kind: kind, payload: payload}, frameBytes + size, true
}

func wellFormed(kind recordType, payload []byte) bool {
	switch kind {
	case recordHeader:
		return len(payload) == headerBytes
	case recordEntry:
		return len(payload) >= entryBytes
	case recordHardState:
		return len(payload) == hardStateBytes
	case recordMarks:
		return len(payload)%markBytes == 0
	case recordReset:
		return len(payload) == 0
	}
	return false
}

type header struct {
	magic    uint64
	sequence uint64
	store    uint64
}

func encodeHeader(h header) []byte {
	return appendNumbers(nil, h.magic, h.sequence, h.store)
}

func decodeHeader(p []byte) header {
	return header{magic: number(p, 0), sequence: number(p, 1), store: number(p, 2)}
}

func encodeEntry(e raft.Entry) []byte {
	buf := make([]byte, 0, entryBytes+len(e.Data))
	buf = appendNumbers(buf, e.Index, e.Term)
	buf = append(buf, byte(e.Type))
	return append(buf, e.Data...)
}

func decodeEntry(p []byte) raft.Entry {
	e := raft.Entry{Index: number(p, 0), Term: number(p, 1), Type: raft.EntryType(p[16])}
	if len(p) > entryBytes {
		e.Data = append([]byte(nil), p[entryBytes:]...)
	}
	return e
}

func encodeHardState(h raft.HardState) []byte {
	return appendNumbers(nil, h.Term, uint64(h.Vote), h.Commit)
}

func decodeHardState(p []byte) raft.HardState {
	return raft.HardState{Term: number(p, 0), Vote: raft.ID(number(p, 1)), Commit: number(p, 2)}
}

func encodeMarks(ms []raft.Watermark) []byte {
	var buf []byte
	for _, m := range ms {
		buf = appendNumbers(buf, uint64(m.ID), m.Term, m.Index)
	}
	return buf
}

func decodeMarks(p []byte) []raft.Watermark {
	var ms []raft.Watermark
	for i := 0; i+3 <= len(p)/8; i += 3 {
		ms = append(ms, raft.Watermark{ID: raft.ID(number(p, i)), Term: number(p, i+1), Index: number(p, i+2)})
	}
	return ms
}

func appendNumbers(buf []byte, ns ...uint64) []byte {
	for _, n := range ns {
		buf = binary.LittleEndian.AppendUint64(buf, n)
	}
	return buf
}

func number(p []byte, i int) uint64 {
	return binary.LittleEndian.Uint64(p[8*i:])
}
