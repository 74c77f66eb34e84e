package permit

// Sharing is a way of dividing a bound among gates.
type Sharing string

// The ways of sharing.
const (
	SharingDemand Sharing = "demand" // by what each gate runs and has waiting
	SharingEqual  Sharing = "equal"  // the same for every gate
	SharingOwner  Sharing = "owner"  // all to one gate for each target
)
