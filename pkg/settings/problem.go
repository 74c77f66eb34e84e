package settings

import "fmt"

// Places of values that have no file.
const (
	Environment = "environment"
	Flag        = "--set"
)

// Problem is one error in the settings of a program.
type Problem struct {
	File    string // Environment or Flag where the value came from there
	Line    int    // 0 where no line is to blame
	Key     string // name of the variable for Environment
	Message string
	Allowed string // what the key takes; "" where that doesn't matter
}

// Error gives the problem as file:line: key: message; allowed.
func (p Problem) Error() string {
	s := p.File
	if p.Line > 0 {
		s += fmt.Sprintf(":%d", p.Line)
	}
	s += ": "
	if p.Key != "" {
		s += p.Key + ": "
	}
	s += p.Message
	if p.Allowed != "" {
		s += "; allowed: " + p.Allowed
	}
	return s
}
