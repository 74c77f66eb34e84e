package ctl

import (
	"errors"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// Failure is the error of a command, with a hint for the operator.
type Failure struct {
	Code     ExitCode
	Message  string
	Hint     string // what the operator can do
	ChangeID string // of a change whose outcome is unknown
	Problems []object.Problem
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }

// failureJSON is the JSON form of a Failure.
type failureJSON struct {
	Error    string           `json:"error"`
	Message  string           `json:"message"`
	Hint     string           `json:"hint,omitempty"`
	ChangeID string           `json:"change_id,omitempty"`
	Problems []object.Problem `json:"problems,omitempty"`
}

func (f *Failure) toJSON() failureJSON {
	return failureJSON{Error: f.Code.String(), Message: f.Message, Hint: f.Hint, ChangeID: f.ChangeID, Problems: f.Problems}
}

// exitCode returns the code of a command's error.
func exitCode(err error) ExitCode {
	var f *Failure
	if errors.As(err, &f) {
		return f.Code
	}
	return ExitRefused
}
