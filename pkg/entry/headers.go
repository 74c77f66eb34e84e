package entry

// Headers holds the names of the request and answer headers.
type Headers struct {
	Attempt      string // client-generated ID of the attempt; answers repeat it
	Deadline     string // milliseconds that the client, or the next hop, waits
	Model        string
	TokenCounts  string // prompt tokens and maximum answer tokens, comma-separated
	LastEventID  string // ID of the last event received
	Organisation string // set on requests to upstreams
	Incarnation  string // ID that the upstream must have
	NotRun       string // present on an answer to a request that was not run
	Signature    string // the upstream's signature of its answer
	Priority     string // 0 to 9, 0 is the highest
	Leaving      string // "1" on the answers of an upstream that leaves
	RateLimit    string // requests a second that the upstream takes from all entry hosts, a decimal number
	PromptParts  string // parts of the prompt in order, as comma-separated ID:TOKENS with hexadecimal IDs
}
