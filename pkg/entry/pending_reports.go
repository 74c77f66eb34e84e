package entry

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// crashReport is a run whose upstream ended.
type crashReport struct {
	fingerprint view.Fingerprint
	crash       quarantine.SeenCrash
	trial       string                                // the trial that the run was; empty if none
	parts       []view.Fingerprint                    // of the request's prompt, accused with it
	completed   map[view.Fingerprint]quarantine.Proof // the last completed runs of the request and its parts here
}

// clearReport is a completed run of a request or part.
type clearReport struct {
	fingerprint view.Fingerprint
	proof       quarantine.Proof
	trial       string // the trial that the run was; empty if none
	patient     bool   // the request was not under suspicion here
}

// progressReport is a run of a request or part that its upstream survives.
type progressReport struct {
	fingerprint view.Fingerprint
	began       time.Duration
}

// pendingReports are reports that wait to be sent.
type pendingReports struct {
	crashed    []crashReport
	cleared    []clearReport
	progressed []progressReport
	ended      []control.FleetTrial
}

func (p *pendingReports) count() int {
	return len(p.crashed) + len(p.cleared) + len(p.progressed) + len(p.ended)
}

// urgent reports whether a report must not wait for others.
func (p *pendingReports) urgent() bool {
	return len(p.crashed)+len(p.ended) > 0 || slices.ContainsFunc(p.cleared, func(r clearReport) bool { return !r.patient })
}

// request returns the message that is sent at a time.
func (p *pendingReports) request(process string, now time.Duration) control.FleetRunsRequest {
	req := control.FleetRunsRequest{Process: process, Ended: p.ended}
	for _, r := range p.crashed {
		run := control.FleetCrashedRun{Fingerprint: r.fingerprint, Crash: control.NewFleetCrash(now, r.crash), Trial: r.trial, Parts: r.parts}
		for f, proof := range r.completed {
			if proof == (quarantine.Proof{}) {
				continue
			}
			if run.Completed == nil {
				run.Completed = map[view.Fingerprint]control.FleetCompletedRun{}
			}
			run.Completed[f] = control.NewFleetCompletedRun(now, proof, "")
		}
		req.Crashed = append(req.Crashed, run)
	}
	for _, r := range p.cleared {
		req.Cleared = append(req.Cleared, r.fingerprint)
		req.ClearedBy = append(req.ClearedBy, control.NewFleetCompletedRun(now, r.proof, r.trial))
	}
	for _, r := range p.progressed {
		if req.Progressed == nil {
			req.Progressed = map[view.Fingerprint]int64{}
		}
		began := (now - r.began).Microseconds()
		if earlier, ok := req.Progressed[r.fingerprint]; ok {
			began = min(began, earlier)
		}
		req.Progressed[r.fingerprint] = began
	}
	return req
}
