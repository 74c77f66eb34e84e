package routing

// NotDraining drops groups that are draining.
type NotDraining struct{}

// Name returns the plugin's name.
func (NotDraining) Name() string { return "drained" }

// Keep reports whether the group is not draining.
func (NotDraining) Keep(_ *Request, c *Candidate) bool { return !c.Group.Draining }
