package object

import "fmt"

// Problem is one error in a set of objects.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // 0 if no line applies
	Object  string `json:"object,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error formats the problem as file:line: [object] field: message, without the parts
// that are unknown.
func (p Problem) Error() string {
	s := ""
	switch {
	case p.Line > 0:
		s = fmt.Sprintf("%s:%d: ", p.File, p.Line)
	case p.File != "":
		s = p.File + ": "
	}
	if p.Object != "" {
		s += "[" + p.Object + "] "
	}
	if p.Field != "" {
		s += p.Field + ": "
	}
	return s + p.Message
}
