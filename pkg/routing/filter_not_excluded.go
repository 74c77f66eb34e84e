package routing

import "slices"

// NotExcluded drops targets on which the request has failed.
type NotExcluded struct{}

// Name returns the plugin's name.
func (NotExcluded) Name() string { return "excluded" }

// Keep tells whether the request may go there.
func (NotExcluded) Keep(r *Request, c *Candidate) bool { return !slices.Contains(r.Excluded, c.Target) }
