package once

import (
	"github.com/sesamemux/sesamemux/pkg/view"
)

// recordKey names a record within its service.
type recordKey struct {
	organisation string
	key          string
}

// record is what is known of one key.
type record struct {
	Organisation    string
	Key             string
	Digest          string
	State           state
	Gate            view.GateName
	GateIncarnation view.Incarnation
	Attempt         string
	Host            view.HostName
	Began           view.Time
	Due             view.Time // when its state ends: the deadline in progress, else its expiry
	Answer          *Answer
}

func (r *record) id() recordKey { return recordKey{r.Organisation, r.Key} }

// timed tells whether the record's key carries a time.
func (r *record) timed() bool {
	_, ok := KeyTime(r.Key)
	return ok
}

// take gives the key to the attempt of an intent.
func (r *record) take(i Intent, now, deadline view.Time) {
	r.Digest = i.Digest
	r.State = stateInProgress
	r.Gate = i.Gate
	r.GateIncarnation = i.GateIncarnation
	r.Attempt = i.Attempt
	r.Host = i.Host
	r.Began = now
	r.Due = deadline
	r.Answer = nil
}
