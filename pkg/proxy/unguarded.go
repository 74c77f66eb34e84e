package proxy

import "github.com/sesamemux/sesamemux/pkg/admission"

// Unguarded turns protections off, for proofs that must see a promise broken
// without them. No setting reaches it.
type Unguarded struct {
	NoSecondCheck  bool // don't check lease and view before the first byte
	ForgetPermits  bool // give permits back though the attempt may run
	NoTracking     bool // forward events as they come and take any end as whole
	NoConfirmation bool // take any process at an address for the right one
	NoSilenceWatch bool // wait for silent connections for ever
	ClaimNotRun    bool // say not run of whatever broke
	Admission      admission.Unsafe
}
