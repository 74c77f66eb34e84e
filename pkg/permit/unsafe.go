package permit

// Unsafe disables protections, so that fault tests can show the violation that each
// one prevents. No setting reaches it.
type Unsafe struct {
	RaiseBeforeSettled bool // assign permits to other gates before a lowering is settled
	IgnoreOrphans      bool // ignore work that a lost gate left running
	IgnoreSuspicion    bool // do not reset the bound of a suspected target
	SkipRamp           bool // start every target at its maximum
}
