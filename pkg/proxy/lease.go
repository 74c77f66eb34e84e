package proxy

// Lease tells whether this gate may take new work.
type Lease interface{ Valid() bool }
