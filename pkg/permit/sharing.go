package permit

// Sharing is a policy for dividing a bound among gates.
type Sharing string

// Sharing policies.
const (
	SharingDemand Sharing = "demand" // in proportion to each gate's requests in flight and queued
	SharingEqual  Sharing = "equal"  // equally among all gates
	SharingOwner  Sharing = "owner"  // all permits of a target to one gate
)
