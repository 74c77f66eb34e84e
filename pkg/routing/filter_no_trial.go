package routing

// NoTrial drops targets on which a suspect request is on trial, so that neither another suspect
// nor an innocent request shares the target with it.
type NoTrial struct{}

// Name returns the plugin's name.
func (NoTrial) Name() string { return "suspected" }

// Keep reports whether no trial runs on the target.
func (NoTrial) Keep(_ *Request, c *Candidate) bool { return !c.HasTrial }
