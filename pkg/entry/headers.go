package entry

// Headers are the names of the headers of requests and answers.
type Headers struct {
	Attempt      string // the client's ID of this attempt; answers repeat it
	Deadline     string // milliseconds that the client, or the next hop, waits
	Model        string
	TokenCounts  string // prompt tokens and most tokens of the answer, with a comma
	LastEventID  string // ID of the last event received
	Organisation string // set for upstreams
	Incarnation  string // ID that the upstream must have
	NotRun       string // an answer that has it did not run the request
	Signature    string // the upstream's, of its answer
	Priority     string // 0 to 9, 0 first
}
