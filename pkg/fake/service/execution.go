package service

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
