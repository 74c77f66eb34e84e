package service

import "encoding/json"

// Execution is one action that the service carried out.
type Execution struct {
	Serial       int    `json:"serial"` // counts all executions of the record, from 1
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Action       string `json:"action"` // path, such as "/stamp"
	Body         string `json:"body"`
	Request      string `json:"request,omitempty"` // the caller's own ID of the request
	Host         string `json:"host"`
}

// Answer is the body of the answer to the execution. It holds all of it, so
// that a checker can tell one execution's answer from another's.
func (e Execution) Answer() string {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return string(b)
}
