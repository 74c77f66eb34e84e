package proxy

// Lease reports whether this gate may take new work.
type Lease interface{ Valid() bool }
