package view

import "github.com/sesamemux/sesamemux/pkg/object"

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
}
