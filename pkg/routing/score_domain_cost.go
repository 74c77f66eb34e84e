package routing

// DomainLocality prefers targets in the gate's own failure domain.
type DomainLocality struct{}

// Name returns the plugin's name.
func (DomainLocality) Name() string { return "domain" }

// Score returns 1 for the own domain and 0 for others.
func (DomainLocality) Score(r *Request, c *Candidate) float64 {
	if c.Group.FailureDomain == r.FailureDomain {
		return 1
	}
	return 0
}
