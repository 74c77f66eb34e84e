package routing

// ReportedLoad prefers targets that report little work. Because reports lag behind, the requests
// that this gate has sent since the report are added.
type ReportedLoad struct{}

// Name returns the plugin's name.
func (ReportedLoad) Name() string { return "load" }

// Score returns the fraction of the bound that is estimated to be free.
func (ReportedLoad) Score(_ *Request, c *Candidate) float64 {
	if c.Bound <= 0 {
		return 0
	}
	work := c.Load.Running + c.Load.Waiting + c.SentSince
	return max(0, 1-float64(work)/float64(c.Bound))
}
