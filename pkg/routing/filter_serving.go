package routing

import "github.com/sesamemux/sesamemux/pkg/view"

// Serving keeps groups that are serving.
type Serving struct{}

// Name returns the plugin's name.
func (Serving) Name() string { return "serving" }

// Keep reports whether the group is serving.
func (Serving) Keep(_ *Request, c *Candidate) bool { return c.Group.State == view.StateServing }
