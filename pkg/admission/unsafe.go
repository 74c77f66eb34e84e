package admission

// Unsafe disables protections, for proofs that must see a guarantee violated without them. No
// setting reaches it.
type Unsafe struct {
	NoFairness  bool // use one queue for all organisations
	NoDeadlines bool // start requests that can't end before their deadline
}
