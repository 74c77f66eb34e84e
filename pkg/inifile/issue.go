package inifile

// Issue is a syntax error in a text.
type Issue struct {
	Line    int    // 1 for the first line; 0 if no line applies
	Section string // name of the enclosing section; "" outside of sections
	Key     string // "" if no key applies
	Message string
}
