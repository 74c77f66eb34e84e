package once

import "github.com/sesamemux/sesamemux/pkg/view"

// Limits of the fields of an Intent, in bytes.
const (
	MaxKeyBytes   = 255
	MaxFieldBytes = 255
)

// Intent asks to run one attempt of a once-only request. A resend after a lost
// reply repeats it unchanged; another attempt has another Attempt.
type Intent struct {
	Organisation    string           `json:"organisation" msgpack:"o"`
	Service         string           `json:"service" msgpack:"s"`
	Key             string           `json:"key" msgpack:"k"`
	Digest          string           `json:"digest" msgpack:"d"` // of method, path, query and body
	Gate            view.GateName    `json:"gate" msgpack:"g"`
	GateIncarnation view.Incarnation `json:"gate_incarnation" msgpack:"i"`
	Attempt         string           `json:"attempt" msgpack:"a"` // unique among all attempts of all gates
	Host            view.HostName    `json:"host" msgpack:"h"`    // the service host that it will be sent to
	// LookupOnly only asks what is known of the key; the attempt won't run.
	LookupOnly bool `json:"look,omitempty" msgpack:"l,omitempty"`
}

// valid tells whether every field is there and within its limit.
func (i Intent) valid() bool {
	if i.Key == "" || len(i.Key) > MaxKeyBytes {
		return false
	}
	for _, s := range []string{i.Service, i.Digest, i.Attempt} {
		if s == "" || len(s) > MaxFieldBytes {
			return false
		}
	}
	return len(i.Organisation) <= MaxFieldBytes
}
