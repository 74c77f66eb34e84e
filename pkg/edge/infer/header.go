package infer

// Headers of requests and answers.
const (
	HeaderOrganisation = "Sesame-Organisation"
	HeaderPriority     = "Sesame-Priority"    // 0 to 9, higher first
	HeaderDeadline     = "Sesame-Deadline-Ms" // milliseconds from now
	HeaderRequestID    = "Sesame-Request-Id"
	HeaderAttempt      = "Sesame-Attempt"
	HeaderGroup        = "Sesame-Group"   // group that the request is meant for
	HeaderEpoch        = "Sesame-Epoch"   // and its epoch
	HeaderVersion      = "Sesame-Version" // version that began the answer
	HeaderGate         = "Sesame-Gate"    // gate that served or refused
	HeaderHop          = "Sesame-Hop"     // handed over by this gate
	HeaderTrace        = "Sesame-Trace"   // names a request on the time line over all gates
)
