package infer

// HTTP headers of requests and responses.
const (
	HeaderOrganisation = "Sesame-Organisation"
	HeaderPriority     = "Sesame-Priority"    // 0 to 9; higher values are served first
	HeaderDeadline     = "Sesame-Deadline-Ms" // time left, in milliseconds
	HeaderRequestID    = "Sesame-Request-Id"
	HeaderAttempt      = "Sesame-Attempt"
	HeaderGroup        = "Sesame-Group"   // target group of the request
	HeaderEpoch        = "Sesame-Epoch"   // epoch of the target group
	HeaderVersion      = "Sesame-Version" // model version that started the answer
	HeaderGate         = "Sesame-Gate"    // gate that served or refused the request
	HeaderHop          = "Sesame-Hop"     // gate that handed the request over
	HeaderTrace        = "Sesame-Trace"   // trace ID of the request on the time lines of all gates
)
