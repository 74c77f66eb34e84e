package control

// FleetReport tells the leader what a coordinator that follows it has heard from the entry hosts
// and upstreams that it serves.
type FleetReport struct {
	Coordinator string           `json:"coordinator"`     // host:port
	Syncs       []FleetHeldSync  `json:"syncs,omitempty"` // without what Usage adds up
	Usage       *FleetUsage      `json:"usage,omitempty"` // nil if none of them has called since the last report
	Confirmed   []FleetConfirmed `json:"confirmed,omitempty"`
	Announced   []FleetAnnounced `json:"announced,omitempty"`
}

// FleetUsage adds up what the entry hosts of one coordinator have told about heads.
type FleetUsage struct {
	Running            map[string]int     `json:"running,omitempty"`  // requests in progress, by upstream ID
	AwaitingFirstEvent map[string]int     `json:"unread,omitempty"`   // those that have not sent their first event
	OfferedLoad        map[string]float64 `json:"load,omitempty"`     // engine seconds demanded per second, by model
	SinceLastEventMS   map[string]int64   `json:"progress,omitempty"` // time since the last event at any of them, by upstream ID
}

// FleetHeldSync is the last sync call of an entry host.
type FleetHeldSync struct {
	HeldMS int64 `json:"held_ms"` // since it was received
	FleetSyncRequest
}

// FleetConfirmed tells which changes are in force at an entry host.
type FleetConfirmed struct {
	Process string `json:"process"`
	Index   uint64 `json:"index"`    // log index of the durable state
	InForce int64  `json:"in_force"` // version of the document, -1 for none
}

// FleetAnnounced is an announcement that changes nothing but the time at which its upstream was heard.
type FleetAnnounced struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born"`
	Sequence  int64  `json:"n"`
	HeldMS    int64  `json:"held_ms"` // since it was received
}
