package settings

import "github.com/sesamemux/sesamemux/pkg/inifile"

// Program is what the settings of each program have in common.
type Program interface {
	// Section is the program's section in a file, such as "gate".
	Section() string
	// Fields binds every key, in the order in which they are printed.
	Fields() []inifile.Field
	// Conflicts lists errors between keys that are each allowed.
	Conflicts() []Conflict
	setDefaults()
}

// Conflict is an error between keys, told at one of them.
type Conflict struct {
	Key     string
	Message string
}

// pointer lets Load make a T and call its methods.
type pointer[T any] interface {
	*T
	Program
}

// Default returns a program's settings with default values.
func Default[T any, P pointer[T]]() T {
	var s T
	P(&s).setDefaults()
	return s
}
