package admission

// Unsafe turns protections off, for proofs that must see a promise broken
// without them. No setting reaches it.
type Unsafe struct {
	NoFairness  bool // one queue for all organisations
	NoDeadlines bool // start requests that can't end in time
}
