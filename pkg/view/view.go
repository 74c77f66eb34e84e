package view

import "github.com/sesamemux/sesamemux/pkg/object"

// View is the published state at one revision.
type View struct {
	Revision      Revision
	ModelGroups   *Table[string, object.ModelGroup]
	Services      *Table[string, object.Service]
	Organisations *Table[string, object.Organisation]
	Hosts         *Table[HostName, Host]
	Groups        *Table[GroupID, Group]
	Shares        *Table[TargetID, Share]
	Drains        *Table[string, Drain] // keyed kind/name
	Quarantines   *Table[Fingerprint, Quarantine]
	Gates         *Table[GateName, Gate]
}

// New returns an empty view at revision 0.
func New() *View {
	return &View{
		ModelGroups:   NewTable[string, object.ModelGroup](),
		Services:      NewTable[string, object.Service](),
		Organisations: NewTable[string, object.Organisation](),
		Hosts:         NewTable[HostName, Host](),
		Groups:        NewTable[GroupID, Group](),
		Shares:        NewTable[TargetID, Share](),
		Drains:        NewTable[string, Drain](),
		Quarantines:   NewTable[Fingerprint, Quarantine](),
		Gates:         NewTable[GateName, Gate](),
	}
}

// Since returns the changes after revision from, or the whole view for 0.
func (v *View) Since(from Revision) *Delta {
	return &Delta{
		From:          from,
		To:            v.Revision,
		ModelGroups:   v.ModelGroups.Since(from),
		Services:      v.Services.Since(from),
		Organisations: v.Organisations.Since(from),
		Hosts:         v.Hosts.Since(from),
		Groups:        v.Groups.Since(from),
		Shares:        v.Shares.Since(from),
		Drains:        v.Drains.Since(from),
		Quarantines:   v.Quarantines.Since(from),
		Gates:         v.Gates.Since(from),
	}
}

// Trim forgets tombstones up to a revision: a gate behind it needs the whole
// view.
func (v *View) Trim(floor Revision) {
	v.ModelGroups.Trim(floor)
	v.Services.Trim(floor)
	v.Organisations.Trim(floor)
	v.Hosts.Trim(floor)
	v.Groups.Trim(floor)
	v.Shares.Trim(floor)
	v.Drains.Trim(floor)
	v.Quarantines.Trim(floor)
	v.Gates.Trim(floor)
}

// Install returns a new view with the delta's changes. The old view stays as
// it is, for readers that hold it. A delta from revision 0 replaces all.
func (v *View) Install(d *Delta) (*View, error) {
	if d.To < v.Revision {
		return nil, &StaleRevisionError{InForce: v.Revision, Offered: d.To}
	}
	if d.From != 0 && d.From != v.Revision {
		return nil, &RevisionGapError{InForce: v.Revision, From: d.From}
	}
	old := v
	if d.From == 0 {
		old = New()
	}
	return &View{
		Revision:      d.To,
		ModelGroups:   old.ModelGroups.with(d.ModelGroups),
		Services:      old.Services.with(d.Services),
		Organisations: old.Organisations.with(d.Organisations),
		Hosts:         old.Hosts.with(d.Hosts),
		Groups:        old.Groups.with(d.Groups),
		Shares:        old.Shares.with(d.Shares),
		Drains:        old.Drains.with(d.Drains),
		Quarantines:   old.Quarantines.with(d.Quarantines),
		Gates:         old.Gates.with(d.Gates),
	}, nil
}
