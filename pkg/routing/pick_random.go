package routing

// Random picks any candidate. It is the baseline of benchmarks.
type Random struct{}

// Pick returns an index into the list.
func (Random) Pick(list []ScoredCandidate, random uint64) int { return int(random % uint64(len(list))) }
