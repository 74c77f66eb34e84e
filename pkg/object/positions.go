package object

// Positions remembers where the objects of a set stand in their file. A nil
// Positions knows of no place.
type Positions struct {
	file  string
	lines map[Ref]place
}

// place is where one object stands.
type place struct {
	header int
	fields map[string]int
	broken map[string]bool // fields whose text could not be read
}

func newPositions(file string) *Positions {
	return &Positions{file: file, lines: make(map[Ref]place)}
}

// problem makes the Problem of an object's field. Where the field is not given
// the object's header is to blame.
func (p *Positions) problem(r Ref, field, message string) Problem {
	b := Problem{Object: r.String(), Field: field, Message: message}
	if p == nil {
		return b
	}
	at := p.lines[r]
	b.File = p.file
	b.Line = at.header
	if n, ok := at.fields[field]; ok {
		b.Line = n
	}
	return b
}

// unread tells whether a field's text could not be read, so that its value
// says nothing.
func (p *Positions) unread(r Ref, field string) bool {
	return p != nil && p.lines[r].broken[field]
}
