package inifile

// Document is a parsed text, in the order of the text.
type Document struct {
	Sections []Section
}

// Section is a header with the keys below it.
type Section struct {
	Name string // without brackets, inner spaces as written
	Line int
	Keys []Key
}

// Key is a key with its value.
type Key struct {
	Name  string
	Value string
	Line  int
}
