package inifile

// Issue is one error in the form of a text.
type Issue struct {
	Line    int    // 1 for the first line; 0 where no line is to blame
	Section string // name of the section around it; "" outside one
	Key     string // "" where no key is to blame
	Message string
}
