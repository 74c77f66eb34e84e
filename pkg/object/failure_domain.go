package object

// FailureDomain is a part of the platform that fails and is drained as a unit.
type FailureDomain struct {
	Name   string
	Region string
}
