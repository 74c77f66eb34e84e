package proxy

// Paths on the peer port.
const (
	PeerPath     = "/v1/peer/chat/completions" // takes requests that a peer hands over
	PeerPingPath = "/v1/peer/ping"             // answers on a live connection
)
