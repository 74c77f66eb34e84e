package wal

// segment is what reading one log file gave.
type segment struct {
	records []record
	end     int  // bytes up to the end of the last valid record
	torn    bool // bytes behind it that are no record
}

// readSegment reads records until the first that isn't valid. Behind it
// nothing valid may follow: that would be damage and not a torn tail. Only the
// last segment may be torn.
func readSegment(name string, data []byte, last bool) (segment, error) {
	var seg segment
	for seg.end < len(data) {
		r, n, ok := parseRecord(data, seg.end)
		if !ok {
			seg.torn = true
			break
		}
		seg.records = append(seg.records, r)
		seg.end += n
	}
	if !seg.torn {
		return seg, nil
	}
	if !last {
		return seg, &CorruptionError{File: name, Offset: int64(seg.end), Cause: "record damaged, and a later segment exists"}
	}
	if next, ok := findRecord(data, seg.end+1); ok {
		return seg, &CorruptionError{File: name, Offset: int64(seg.end), Cause: damageBefore(next)}
	}
	return seg, nil
}

// findRecord looks for a valid record at any offset from one on.
func findRecord(data []byte, from int) (int, bool) {
	for i := from; i+frameBytes <= len(data); i++ {
		if _, _, ok := parseRecord(data, i); ok {
			return i, true
		}
	}
	return 0, false
}
