package object

// Positions holds the line numbers of the objects of a set in their file. A nil
// Positions holds none.
type Positions struct {
	file  string
	lines map[Ref]objectPosition
}

// objectPosition holds the line numbers of one object.
type objectPosition struct {
	header   int
	fields   map[string]int
	unparsed map[string]bool // fields whose text could not be parsed
}

func newPositions(file string) *Positions {
	return &Positions{file: file, lines: make(map[Ref]objectPosition)}
}

// problem returns a Problem of an object's field, at the line of the field, or of the
// object's header if the field is absent.
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

// unparsed reports whether a field's text could not be parsed, so that its value must not
// be used.
func (p *Positions) unparsed(r Ref, field string) bool {
	return p != nil && p.lines[r].unparsed[field]
}
