package keeper

// Unsafe switches protections off. Only proofs set it.
type Unsafe struct {
	NoConfirm  bool // leases are granted without a round that confirms the leadership
	NoTakeover bool // a new leader does not wait for leases of earlier ones
	NoBarrier  bool // the barrier passes a revision as soon as it is published
}
