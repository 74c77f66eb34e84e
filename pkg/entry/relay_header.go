package entry

const (
	// relayHeader holds the control.RelayedRequest of a request between entry hosts, as JSON.
	relayHeader = "Sesame-Relay"
	// relayDeclinedHeader is present on the answer of an entry host that did not pass the request on to
	// any upstream and leaves it to others. Its value is the reason.
	relayDeclinedHeader = "Sesame-Relay-Declined"
	// relayUpstreamHeader names the upstream of a relayed answer: its ID, and its start in Unix
	// milliseconds after a space.
	relayUpstreamHeader = "Sesame-Relay-Upstream"
)

// relayAnswerHeaders apply between two entry hosts; upstreams can't set them.
var relayAnswerHeaders = map[string]bool{relayDeclinedHeader: true, relayUpstreamHeader: true}
