package permit

// Unguarded turns protections off, for proofs that must see a promise broken
// without them. No setting reaches it.
type Unguarded struct {
	RaiseBeforeSettled bool // give permits to others before a lowering is settled
	ForgetOrphans      bool // take no account of what a lost gate left running
	IgnoreSuspicion    bool // keep the bound of a suspected target
	IgnoreAge          bool // start every target at its maximum
}
