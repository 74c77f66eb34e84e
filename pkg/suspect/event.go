package suspect

import "github.com/sesamemux/sesamemux/pkg/view"

// Event is an input of the Machine.
type Event interface{ event() }

// CrashReported lists what one gate was running on an upstream when that incarnation crashed.
// Reports of several gates about one incarnation are one crash. It is the parameter of
// control.MethodCrashReport.
type CrashReported struct {
	Upstream    view.HostName    `json:"upstream"`
	Incarnation view.Incarnation `json:"incarnation"`
	Running     []Running        `json:"running"`
	Gate        view.GateName    `json:"gate"`
}

// SuspectCleared reports that a request completed on an upstream without a crash.
type SuspectCleared struct {
	Fingerprint view.Fingerprint `json:"fingerprint"`
}

// Released is an operator's command to release a fingerprint.
type Released struct {
	Fingerprint view.Fingerprint
}

// GateGone reports that a gate can no longer run trials. Successor takes them over; it may be
// empty.
type GateGone struct {
	Gate      view.GateName
	Successor view.GateName
}

// Ticked lets time pass.
type Ticked struct{}

func (CrashReported) event()  {}
func (SuspectCleared) event() {}
func (Released) event()       {}
func (GateGone) event()       {}
func (Ticked) event()         {}
