package proxy

// HTTP paths on the peer port.
const (
	PeerPath     = "/v1/peer/chat/completions" // accepts requests handed over by a peer
	PeerPingPath = "/v1/peer/ping"             // probe path for connections between gates
)
