package control

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/quarantine"
)

// FleetCrash is a crash with its times as durations before the message was sent, in microseconds.
type FleetCrash struct {
	quarantine.Crash
	AgoUS int64 `json:"ago_us,omitempty"` // since the end of the upstream was noticed
	RanUS int64 `json:"ran_us,omitempty"` // from the sending of the request until then
}

// NewFleetCrash returns the message about a crash that is sent at a time.
func NewFleetCrash(now time.Duration, c quarantine.SeenCrash) FleetCrash {
	return FleetCrash{Crash: c.Crash, AgoUS: (now - c.At).Microseconds(), RanUS: (c.At - c.Began).Microseconds()}
}

// Seen returns the crash on the clock of a receiver that gets it at a time.
func (c FleetCrash) Seen(now time.Duration) quarantine.SeenCrash {
	at := now - time.Duration(c.AgoUS)*time.Microsecond
	return quarantine.SeenCrash{Crash: c.Crash, Began: at - time.Duration(c.RanUS)*time.Microsecond, At: at}
}

// FleetCompletedRun is a completed run with its times as durations before the message was sent, in
// microseconds.
type FleetCompletedRun struct {
	BeganUS int64  `json:"began_us"`
	EndedUS int64  `json:"ended_us"`
	TookUS  int64  `json:"took_us"`         // a duration
	Trial   string `json:"trial,omitempty"` // the trial that the run was; empty if none
}

// NewFleetCompletedRun returns the message about a completed run that is sent at a time.
func NewFleetCompletedRun(now time.Duration, p quarantine.Proof, trial string) FleetCompletedRun {
	return FleetCompletedRun{BeganUS: (now - p.Began).Microseconds(), EndedUS: (now - p.Ended).Microseconds(), TookUS: p.Took.Microseconds(), Trial: trial}
}

// Proof returns the run on the clock of a receiver that gets it at a time.
func (r FleetCompletedRun) Proof(now time.Duration) quarantine.Proof {
	return quarantine.Proof{Began: now - time.Duration(r.BeganUS)*time.Microsecond, Ended: now - time.Duration(r.EndedUS)*time.Microsecond, Took: time.Duration(r.TookUS) * time.Microsecond}
}

// ClearedRun returns the run that cleared Cleared[i]. A process of an earlier version does not name
// it; it then counts as having begun just now.
func (r *FleetRunsRequest) ClearedRun(i int) FleetCompletedRun {
	if i < len(r.ClearedBy) {
		return r.ClearedBy[i]
	}
	return FleetCompletedRun{}
}
