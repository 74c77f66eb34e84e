package quarantine

import "github.com/sesamemux/sesamemux/pkg/view"

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	RecordCrashes ChangeKind = "crash"  // the request was running when upstreams ended
	GrantTrial    ChangeKind = "grant"  // let a suspect run once
	CrashTrial    ChangeKind = "ended"  // the upstream of a trial ended: the verdict on its parts
	EndTrial      ChangeKind = "end"    // a trial ended without a verdict
	Clear         ChangeKind = "clear"  // the request ran to its end
	Expire        ChangeKind = "expire" // forget entries whose time is over
)

// Change is a change of a List.
type Change struct {
	Kind        ChangeKind       `json:"kind"`
	NowMS       int64            `json:"now"` // Unix milliseconds
	Fingerprint view.Fingerprint `json:"f,omitempty"`
	Crashes     []Crash          `json:"c,omitempty"`
	// Parts are the parts of the prompt that are not known to be harmless; of GrantTrial. The trial is
	// one of the request and of those of its parts that are suspects.
	Parts      []view.Fingerprint `json:"p,omitempty"`
	Trial      string             `json:"t,omitempty"`       // of GrantTrial, CrashTrial and EndTrial; of RecordCrashes the trial in which the last crash happened
	UntilMS    int64              `json:"until,omitempty"`   // of GrantTrial: when the trial has ended
	Convict    bool               `json:"convict,omitempty"` // of RecordCrashes in a trial and CrashTrial: the upstream is known to have ended
	TrialCrash Crash              `json:"tc,omitzero"`       // of RecordCrashes in a trial: the end of its upstream
	NotRun     bool               `json:"notrun,omitempty"`  // of EndTrial: the request reached no upstream, or was not run there
}
