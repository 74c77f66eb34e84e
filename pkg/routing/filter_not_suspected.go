package routing

// NotSuspected keeps isolated requests alone: they go only where this gate
// runs nothing, and nothing joins them.
type NotSuspected struct{}

// Name returns the plugin's name.
func (NotSuspected) Name() string { return "suspected" }

// Keep tells whether the request may share the target.
func (NotSuspected) Keep(r *Request, c *Candidate) bool {
	if c.SuspectRuns {
		return false
	}
	return !r.Isolated || c.InFlight == 0
}
