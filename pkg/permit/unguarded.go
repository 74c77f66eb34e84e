package permit

// Unsafe turns protections off, for proofs that must see a promise broken
// without them. No setting reaches it.
type Unsafe struct {
	RaiseBeforeSettled bool // give permits to others before a lowering is settled
	IgnoreOrphans      bool // take no account of what a lost gate left running
	IgnoreSuspicion    bool // keep the bound of a suspected target
	SkipRamp           bool // start every target at its maximum
}
