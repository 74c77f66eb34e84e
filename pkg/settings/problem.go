package settings

import "fmt"

// File names in problems with values that don't come from a file.
const (
	Environment = "environment"
	Flag        = "--set"
)

// Problem is one error in the settings of a program.
type Problem struct {
	File    string // or Environment or Flag
	Line    int    // 0 if no line applies
	Key     string // name of the variable if File is Environment
	Message string
	Allowed string // allowed values of the key; "" if not relevant
}

// Error formats the problem as file:line: key: message; allowed.
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
