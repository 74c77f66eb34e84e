package view

// DrainKind is the kind of object that an operator drained.
type DrainKind string

// Kinds of drains.
const (
	DrainFailureDomain DrainKind = "failure-domain"
	DrainUpstream      DrainKind = "upstream"
)

// Drain is an operator's order, until revoked, to give an object no new work.
type Drain struct {
	Kind  DrainKind
	Name  string
	Since Time
}
