package routing

// Drained drops groups that are being taken out of service.
type Drained struct{}

// Name returns the plugin's name.
func (Drained) Name() string { return "drained" }

// Keep tells whether the group is not draining.
func (Drained) Keep(_ *Request, c *Candidate) bool { return !c.Group.Draining }
