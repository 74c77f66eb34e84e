package routing

// PrefixHint prefers targets that probably have the prompt's prefix in their cache.
type PrefixHint struct{}

// Name returns the plugin's name.
func (PrefixHint) Name() string { return "prefix" }

// Score returns the fraction of the prompt's blocks that are probably cached.
func (PrefixHint) Score(r *Request, c *Candidate) float64 {
	if r.Blocks == 0 {
		return 0
	}
	return float64(c.PrefixHits) / float64(r.Blocks)
}
