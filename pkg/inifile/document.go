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

// Lookup returns a key of the section.
func (s *Section) Lookup(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}
