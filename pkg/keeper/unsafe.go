package keeper

// Unsafe switches protections off. Only proofs set it.
type Unsafe struct {
	SkipLeaderConfirmation bool // leases are granted without a round that confirms the leadership
	IgnoreEarlierLeases    bool // a new leader does not wait for leases of earlier ones
	NoBarrier              bool // the barrier passes a revision as soon as it is published
}
