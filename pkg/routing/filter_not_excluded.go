package routing

import "slices"

// NotExcluded drops targets on which the request has already failed.
type NotExcluded struct{}

// Name returns the plugin's name.
func (NotExcluded) Name() string { return "excluded" }

// Keep reports whether the request has not failed on the target.
func (NotExcluded) Keep(r *Request, c *Candidate) bool { return !slices.Contains(r.Excluded, c.Target) }
