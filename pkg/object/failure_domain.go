package object

// FailureDomain is a part of the platform that fails and is taken out as one.
type FailureDomain struct {
	Name   string
	Region string
}
