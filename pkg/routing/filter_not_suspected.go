package routing

// NoTrial drops targets on which a suspect is on trial: no other suspect
// and no innocent request joins it.
type NoTrial struct{}

// Name returns the plugin's name.
func (NoTrial) Name() string { return "suspected" }

// Keep tells whether the request may share the target.
func (NoTrial) Keep(_ *Request, c *Candidate) bool { return !c.HasTrial }
