package once

import (
	"github.com/sesamemux/sesamemux/pkg/view"
)

// recordKey identifies a record within its service.
type recordKey struct {
	organisation string
	key          string
}

// record is the state of one key. The field names are short in snapshots because these hold many
// records.
type record struct {
	Organisation    string           `msgpack:"o"`
	Key             string           `msgpack:"k"`
	Digest          string           `msgpack:"d"`
	State           recordState      `msgpack:"s"`
	Gate            view.GateName    `msgpack:"g"`
	GateIncarnation view.Incarnation `msgpack:"i"`
	Attempt         string           `msgpack:"a"`
	Host            view.HostName    `msgpack:"h,omitempty"`
	Began           view.Time        `msgpack:"b"`
	Due             view.Time        `msgpack:"u"` // when State ends: the deadline while in progress, else the expiry
	Answer          *Answer          `msgpack:"w,omitempty"`
}

func (r *record) id() recordKey { return recordKey{r.Organisation, r.Key} }

// hasTimedKey reports whether the record's key carries a time.
func (r *record) hasTimedKey() bool {
	_, ok := KeyTime(r.Key)
	return ok
}

// assign makes the attempt of an intent the owner of the key.
func (r *record) assign(i Intent, now, deadline view.Time) {
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
