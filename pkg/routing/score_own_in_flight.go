package routing

// OwnInFlight prefers targets where this gate uses little of its permits.
type OwnInFlight struct{}

// Name returns the plugin's name.
func (OwnInFlight) Name() string { return "own-in-flight" }

// Score returns the free share of the gate's permits.
func (OwnInFlight) Score(_ *Request, c *Candidate) float64 {
	total := c.FreePermits + c.InFlight
	if total == 0 {
		return 0
	}
	return float64(c.FreePermits) / float64(total)
}
