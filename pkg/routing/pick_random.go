package routing

// Random picks any candidate; it is the baseline of measures.
type Random struct{}

// Pick returns an index into the list.
func (Random) Pick(list []ScoredCandidate, random uint64) int { return int(random % uint64(len(list))) }
