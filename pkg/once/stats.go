package once

// Stats holds the counts of one service's records.
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
		InProgress: len(s.inProgress),
		Tombstones: len(s.tombstones),
	}
	for _, r := range s.records {
		if r.State == stateUnknown {
			st.Unknown++
		}
	}
	return st
}
