package settings

import "github.com/sesamemux/sesamemux/pkg/inifile"

// Program is implemented by the settings of each program.
type Program interface {
	// Section returns the name of the program's section in a file, such as "gate".
	Section() string
	// Fields binds every key, in print order.
	Fields() []inifile.Field
	// Conflicts lists errors in combinations of keys that are valid on their own.
	Conflicts() []Conflict
	setDefaults()
}

// Conflict is an error in a combination of keys, reported at one of them.
type Conflict struct {
	Key     string
	Message string
}

// pointer lets Load create a T and call the methods of its pointer.
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
