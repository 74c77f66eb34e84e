package routing

// Healthy drops groups in which a member's report differs from the view.
type Healthy struct{}

// Name returns the plugin's name.
func (Healthy) Name() string { return "healthy" }

// Keep reports whether all members report what the view says.
func (Healthy) Keep(_ *Request, c *Candidate) bool { return !c.Unhealthy }
