package infer

// Cancel asks an engine to stop an attempt. Once the engine has replied, no work
// of the attempt runs there, and the engine refuses the attempt if it arrives later.
type Cancel struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// CancelReply reports whether the engine had received the attempt.
type CancelReply struct {
	Known bool `json:"known"` // the attempt had arrived before the cancel request
}
