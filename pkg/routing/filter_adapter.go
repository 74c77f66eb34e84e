package routing

import "slices"

// Adapter keeps groups that have the request's adapter.
type Adapter struct{}

// Name returns the plugin's name.
func (Adapter) Name() string { return "adapter" }

// Keep reports whether the group has the adapter.
func (Adapter) Keep(r *Request, c *Candidate) bool {
	return r.Adapter == "" || slices.Contains(c.Group.Adapters, r.Adapter)
}
