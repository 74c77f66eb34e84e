package wal

// segment is the result of reading one segment file.
type segment struct {
	records    []record
	validBytes int  // size up to the end of the last valid record
	torn       bool // whether bytes follow that are not a valid record
}

// readSegment reads records up to the first invalid one. If a valid record follows that one, the
// file is corrupt rather than torn. Only the last segment may be torn.
func readSegment(name string, data []byte, last bool) (segment, error) {
	var seg segment
	for seg.validBytes < len(data) {
		r, n, ok := parseRecord(data, seg.validBytes)
		if !ok {
			seg.torn = true
			break
		}
		seg.records = append(seg.records, r)
		seg.validBytes += n
	}
	if !seg.torn {
		return seg, nil
	}
	if !last {
		return seg, &CorruptionError{File: name, Offset: int64(seg.validBytes), Cause: "record is corrupt, and a later segment exists"}
	}
	if next, ok := findRecord(data, seg.validBytes+1); ok {
		return seg, &CorruptionError{File: name, Offset: int64(seg.validBytes), Cause: corruptBefore(next)}
	}
	return seg, nil
}

// findRecord returns the offset of the first valid record at or after an offset.
func findRecord(data []byte, from int) (int, bool) {
	for i := from; i+frameBytes <= len(data); i++ {
		if _, _, ok := parseRecord(data, i); ok {
			return i, true
		}
	}
	return 0, false
}
