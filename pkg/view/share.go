package view

// GateName names one gate process's host.
type GateName string

// GateShare is the part of a target's permits that one gate may use.
type GateShare struct {
	Gate    GateName
	Permits int
}

// Share divides the bound of work in flight on a target among gates. The sum
// of Permits never exceeds Bound.
type Share struct {
	Target      TargetID
	Incarnation Incarnation // of the head host; a share is void for any other
	Bound       int
	Cold        int         // bound of a just-started target; a suspected one falls back to it
	ColdResets  int         // times that the bound fell back to Cold in this incarnation
	Gates       []GateShare // sorted by gate; 0 permits: was lowered, work may still run
}
