package quarantine

import "time"

// Proof is a completed run, with its times on the clock of the process that keeps it. What crashes
// the upstreams that run it from some moment on crashes all runs that begin later, so a completed run
// disproves the crashes of runs that began before it, and no others. The zero value is no run.
type Proof struct {
	Began time.Duration // the request was sent to the upstream that completed it
	Ended time.Duration
	Took  time.Duration // between them; of two runs that are merged, that of the later one
}

// NewProof returns the proof of a run that completed.
func NewProof(began, ended time.Duration) Proof { return Proof{began, ended, ended - began} }

// merge returns what two runs prove.
func (p Proof) merge(q Proof) Proof {
	if q.Began > p.Began {
		p, q = q, p
	}
	p.Ended = max(p.Ended, q.Ended)
	return p
}

func (p Proof) exists() bool { return p != Proof{} }

// disproves reports whether what completed was not the cause of a crash.
func (p Proof) disproves(c SeenCrash) bool { return p.exists() && c.Began <= p.Began }

// recentAt reports whether the run ended within completionTTL before a time.
func (p Proof) recentAt(t time.Duration) bool { return p.exists() && t-p.Ended < completionTTL }
