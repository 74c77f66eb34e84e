package routing

// PrefixHint prefers targets that are hinted to have the prompt's prefix.
type PrefixHint struct{}

// Name returns the plugin's name.
func (PrefixHint) Name() string { return "prefix" }

// Score returns the share of the prompt's blocks that are hinted.
func (PrefixHint) Score(r *Request, c *Candidate) float64 {
	if r.Blocks == 0 {
		return 0
	}
	return float64(c.PrefixHits) / float64(r.Blocks)
}
