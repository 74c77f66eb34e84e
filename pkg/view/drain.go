package view

// DrainKind says what an operator took out of service.
type DrainKind string

// What can be drained.
const (
	DrainFailureDomain DrainKind = "failure-domain"
	DrainUpstream      DrainKind = "upstream"
)

// Drain is one standing order of an operator to give something no new work.
type Drain struct {
	Kind  DrainKind
	Name  string
	Since Time
}
