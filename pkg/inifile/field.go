package inifile

// Field binds one key to a typed value.
type Field struct {
	Key      string
	Doc      string // one sentence for pages and generated files
	Allowed  string // values that are allowed, such as "1 to 16"
	Required bool   // must be given and not empty
	Secret   bool   // the value is never printed
	Set      func(text string) error
	Get      func() string // the text that Set reads back to the same value
	Check    func() error  // whether the value is allowed
}
