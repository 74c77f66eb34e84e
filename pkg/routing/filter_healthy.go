package routing

// Healthy drops groups of which a member says something else than the view.
type Healthy struct{}

// Name returns the plugin's name.
func (Healthy) Name() string { return "healthy" }

// Keep tells whether all members are well.
func (Healthy) Keep(_ *Request, c *Candidate) bool { return !c.Unhealthy }
