package routing

// NotSuspected drops targets on which a suspect is on trial: no other suspect
// and no innocent request joins it.
type NotSuspected struct{}

// Name returns the plugin's name.
func (NotSuspected) Name() string { return "suspected" }

// Keep tells whether the request may share the target.
func (NotSuspected) Keep(_ *Request, c *Candidate) bool { return !c.SuspectRuns }
