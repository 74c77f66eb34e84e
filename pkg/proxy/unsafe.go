package proxy

import "github.com/sesamemux/sesamemux/pkg/admission"

// Unsafe turns off protections, for tests that check that each is needed. It can't be set
// in the configuration.
type Unsafe struct {
	NoPreSendCheck      bool // skip the check of lease, view and permit before the first byte
	ReleasePermitsEarly bool // release permits although the attempt may still run
	NoStreamTracking    bool // forward events unchecked and treat any end as complete
	NoIncarnationCheck  bool // accept any process that answers at the address
	NoStallTimeouts     bool // wait for stalled connections without a timeout
	ReportNotRun        bool // report every failed attempt as not-run
	Admission           admission.Unsafe
}
