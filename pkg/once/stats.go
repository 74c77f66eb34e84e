package once

// Stats counts what is held of one service.
type Stats struct {
	Service    string
	Records    int
	InProgress int
	Unknown    int
	Tombstones int
}

func (s *serviceRecords) stats() Stats {
	st := Stats{
		Service:    s.name,
		Records:    len(s.records),
		InProgress: len(s.progress),
		Tombstones: len(s.tombstones),
	}
	for _, r := range s.records {
		if r.State == stateUnknown {
			st.Unknown++
		}
	}
	return st
}
