package inifile

// Document is what a text holds, in its order.
type Document struct {
	Sections []Section
}

// Section is one header with the keys below it.
type Section struct {
	Name string // without brackets, inner spaces as written
	Line int
	Keys []Key
}

// Key is one key with its value.
type Key struct {
	Name  string
	Value string
	Line  int
}
