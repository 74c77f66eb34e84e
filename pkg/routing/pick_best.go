package routing

// HighestScore picks the highest score; among equals the random number decides.
type HighestScore struct{}

// Pick returns an index into the list.
func (HighestScore) Pick(list []ScoredCandidate, random uint64) int {
	top, equal := 0, 0
	for i := range list {
		switch {
		case i == 0 || list[i].Score > list[top].Score:
			top, equal = i, 1
		case list[i].Score == list[top].Score:
			equal++
		}
	}
	skip := int(random % uint64(equal))
	for i := top; i < len(list); i++ {
		if list[i].Score != list[top].Score {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return top
}
