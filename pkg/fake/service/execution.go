package service

import "encoding/json"

// Execution is one action that the service executed.
type Execution struct {
	Serial       int    `json:"serial"` // position in the record, from 1
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Action       string `json:"action"` // path of the call, such as "/stamp"
	Body         string `json:"body"`
	Request      string `json:"request,omitempty"` // the caller's ID of the request
	Host         string `json:"host"`
}

// Answer returns the body of the answer to the execution. It contains all fields,
// so that a checker can tell the answers of different executions apart.
func (e Execution) Answer() string {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return string(b)
}
