package routing

// NotDraining drops groups that are being taken out of service.
type NotDraining struct{}

// Name returns the plugin's name.
func (NotDraining) Name() string { return "drained" }

// Keep tells whether the group is not draining.
func (NotDraining) Keep(_ *Request, c *Candidate) bool { return !c.Group.Draining }
