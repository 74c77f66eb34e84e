package routing

// DomainCost prefers targets in the gate's own failure domain.
type DomainCost struct{}

// Name returns the plugin's name.
func (DomainCost) Name() string { return "domain" }

// Score returns 1 for the own domain and 0 for others.
func (DomainCost) Score(r *Request, c *Candidate) float64 {
	if c.Group.FailureDomain == r.FailureDomain {
		return 1
	}
	return 0
}
