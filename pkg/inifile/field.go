package inifile

// Field binds a key to a typed value.
type Field struct {
	Key      string
	Doc      string // one sentence for documentation and generated files
	Allowed  string // description of the allowed values, such as "1 to 16"
	Required bool   // must be given and not empty
	Secret   bool   // the value is never printed
	Set      func(text string) error
	Get      func() string // returns the text from which Set restores the value
	Check    func() error  // returns an error unless the value is allowed
}
