package routing

// ReportedLoad prefers targets with little work by their own late report,
// corrected by what this gate has sent since.
type ReportedLoad struct{}

// Name returns the plugin's name.
func (ReportedLoad) Name() string { return "load" }

// Score returns the share of the bound that seems free.
func (ReportedLoad) Score(_ *Request, c *Candidate) float64 {
	if c.Bound <= 0 {
		return 0
	}
	work := c.Load.Running + c.Load.Waiting + c.SentSince
	return max(0, 1-float64(work)/float64(c.Bound))
}
