package view

// GateName is the name of a gate process's host.
type GateName string

// GateShare is the part of a target's permits that one gate may use.
type GateShare struct {
	Gate    GateName
	Permits int
}

// Share divides the bound on requests in flight of a target among gates. The sum
// of Permits never exceeds Bound.
type Share struct {
	Target      TargetID
	Incarnation Incarnation // incarnation of the head host or service host; the share is valid for no other
	Bound       int
	Cold        int         // bound of a target that was just started or is suspected
	ColdResets  int         `json:"Falls" msgpack:"Falls"` // number of resets of the bound to Cold in this incarnation
	Gates       []GateShare // sorted by gate; a gate with 0 permits may still have work running
}
