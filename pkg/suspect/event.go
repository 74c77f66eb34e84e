package suspect

import "github.com/sesamemux/sesamemux/pkg/view"

// Event is an input of the Machine.
type Event interface{ event() }

// CrashReported tells what one gate had on an upstream when that incarnation
// crashed. Reports of several gates on one incarnation are one crash. It is
// the parameter of control.MethodCrashReport.
type CrashReported struct {
	Upstream    view.HostName    `json:"upstream"`
	Incarnation view.Incarnation `json:"incarnation"`
	Running     []Running        `json:"running"`
	Gate        view.GateName    `json:"gate"`
}

// SuspectCleared tells that a request ended well on an upstream that lived on.
type SuspectCleared struct {
	Fingerprint view.Fingerprint `json:"fingerprint"`
}

// Released is an operator's order to free a fingerprint.
type Released struct {
	Fingerprint view.Fingerprint
}

// GateGone tells that a gate is no longer there to run trials. Heir takes
// them over; it may be empty.
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
