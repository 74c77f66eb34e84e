package infer

// Cancel asks an engine to end an attempt. After the answer, nothing of the
// attempt runs there, and it is refused if it arrives later.
type Cancel struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// CancelReply tells how far the attempt had come.
type CancelReply struct {
	Known bool `json:"known"` // the attempt had arrived
}
