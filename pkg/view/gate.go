package view

// Gate is a registered gate process.
type Gate struct {
	Name          GateName
	Incarnation   Incarnation
	FailureDomain string
	PeerAddress   string // host:port at which other gates hand requests over
	RPCAddress    string // host:port of its JSON-RPC interface
}
