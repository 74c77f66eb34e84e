package routing

// PermitFree keeps targets for which this gate has a permit left.
type PermitFree struct{}

// Name returns the plugin's name.
func (PermitFree) Name() string { return "permit" }

// Keep tells whether a permit is free.
func (PermitFree) Keep(_ *Request, c *Candidate) bool { return c.FreePermits > 0 }
