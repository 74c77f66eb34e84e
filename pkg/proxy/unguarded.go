package proxy

import "github.com/sesamemux/sesamemux/pkg/admission"

// Unsafe turns protections off, for proofs that must see a promise broken
// without them. No setting reaches it.
type Unsafe struct {
	NoPreSendCheck      bool // don't check lease and view before the first byte
	ReleasePermitsEarly bool // give permits back though the attempt may run
	NoStreamTracking    bool // forward events as they come and take any end as whole
	NoIncarnationCheck  bool // take any process at an address for the right one
	NoStallTimeouts     bool // wait for silent connections for ever
	ReportNotRun        bool // say not run of whatever broke
	Admission           admission.Unguarded
}
