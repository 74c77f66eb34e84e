package view

import (
	"encoding/json"
	"sync"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// Delta holds the changes of a view from one revision to a later one. From is 0
// for a delta that contains the whole view.
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

// plainDelta is a Delta without its MarshalJSON method.
type plainDelta Delta

// MarshalJSON implements json.Marshaler. A delta is encoded once for all gates that
// receive it, and must not be changed after the first call.
func (d *Delta) MarshalJSON() ([]byte, error) {
	d.once.Do(func() { d.encoded, d.err = json.Marshal((*plainDelta)(d)) })
	return d.encoded, d.err
}
