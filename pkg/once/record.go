package once

import (
	"github.com/sesamemux/sesamemux/pkg/view"
)

// recordKey names a record within its service.
type recordKey struct {
	organisation string
	key          string
}

// record is what is known of one key. Its names are short in snapshots, which
// hold many.
type record struct {
	Organisation    string           `msgpack:"o"`
	Key             string           `msgpack:"k"`
	Digest          string           `msgpack:"d"`
	State           state            `msgpack:"s"`
	Gate            view.GateName    `msgpack:"g"`
	GateIncarnation view.Incarnation `msgpack:"i"`
	Attempt         string           `msgpack:"a"`
	Host            view.HostName    `msgpack:"h,omitempty"`
	Began           view.Time        `msgpack:"b"`
	Due             view.Time        `msgpack:"u"` // when its state ends: the deadline in progress, else its expiry
	Answer          *Answer          `msgpack:"w,omitempty"`
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
