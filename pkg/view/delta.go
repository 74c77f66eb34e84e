package view

import (
	"encoding/json"
	"sync"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// Delta brings a view from one revision to a later one. From 0 means that it
// holds the whole view.
type Delta struct {
	From          Revision                                `json:"from"`
	To            Revision                                `json:"to"`
	ModelGroups   TableDelta[string, object.ModelGroup]   `json:"model_groups,omitzero"`
	Services      TableDelta[string, object.Service]      `json:"services,omitzero"`
	Organisations TableDelta[string, object.Organisation] `json:"organisations,omitzero"`
	Hosts         TableDelta[HostName, Host]              `json:"hosts,omitzero"`
	Groups        TableDelta[GroupID, Group]              `json:"groups,omitzero"`
	Shares        TableDelta[TargetID, Share]             `json:"shares,omitzero"`
	Drains        TableDelta[string, Drain]               `json:"drains,omitzero"`
	Quarantines   TableDelta[Fingerprint, Quarantine]     `json:"quarantines,omitzero"`
	Gates         TableDelta[GateName, Gate]              `json:"gates,omitzero"`

	once    sync.Once
	encoded []byte
	err     error
}

// plainDelta is a Delta in its field by field form.
type plainDelta Delta

// MarshalJSON implements json.Marshaler. A delta is encoded once, however many
// gates it goes to; it must not be changed after that.
func (d *Delta) MarshalJSON() ([]byte, error) {
	d.once.Do(func() { d.encoded, d.err = json.Marshal((*plainDelta)(d)) })
	return d.encoded, d.err
}
