package keeper

// Unsafe disables safety mechanisms. Only fault-injection tests set it, to show that they detect
// the violations that follow.
type Unsafe struct {
	SkipLeaderConfirmation bool // grant leases without confirming the leadership
	IgnoreEarlierLeases    bool // as a new leader, do not wait for leases of earlier leaders to lapse
	NoBarrier              bool // advance the barrier to a revision as soon as it is published
}
