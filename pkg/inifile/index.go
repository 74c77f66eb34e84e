package inifile

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// index finds the lines of headers and keys, and rewrites the text so that
// only lines in good form are left for the INI library.
type index struct {
	sections []Section
	issues   []Issue
	dropped  int // issues beyond MaxIssues
	clean    bytes.Buffer
	firstKey map[string]int // line of each key of the current section
	skip     bool           // below a header in bad form
	tooMany  bool
}

func newIndex(text []byte) *index {
	x := &index{}
	n := 0
	for line := range bytes.Lines(text) {
		n++
		x.line(n, bytes.TrimSpace(line))
	}
	return x
}

func (x *index) line(n int, line []byte) {
	if !utf8.Valid(line) {
		x.issue(n, "", "is not UTF-8")
		return
	}
	if i := bytes.IndexFunc(line, isControl); i >= 0 {
		x.issue(n, "", fmt.Sprintf("holds a control character at column %d", i+1))
		return
	}
	switch {
	case len(line) == 0, line[0] == '#', line[0] == ';':
	case line[0] == '[':
		x.header(n, string(line))
	default:
		x.key(n, string(line))
	}
}

func isControl(r rune) bool { return unicode.IsControl(r) && r != '\t' }

func (x *index) header(n int, line string) {
	x.skip = true
	name, rest, closed := strings.Cut(line[1:], "]")
	name = strings.Join(strings.Fields(name), " ")
	rest = strings.TrimSpace(rest)
	switch {
	case !closed:
		x.issue(n, "", `section header has no "]"`)
		return
	case name == "":
		x.issue(n, "", "section header has no name")
		return
	case strings.ContainsAny(name, "[#;"):
		x.issue(n, "", fmt.Sprintf("section name %q holds one of [ # ;", name))
		return
	case rest != "" && rest[0] != '#' && rest[0] != ';':
		x.issue(n, "", fmt.Sprintf("text %q after the section header", rest))
		return
	}
	if len(x.sections) == MaxSections {
		x.refuseMore(n)
		return
	}
	x.skip = false
	x.sections = append(x.sections, Section{Name: name, Line: n})
	x.firstKey = make(map[string]int)
	fmt.Fprintf(&x.clean, "[%s]\n", name)
}

// refuseMore tells once that there are too many sections.
func (x *index) refuseMore(n int) {
	if !x.tooMany {
		x.issue(n, "", fmt.Sprintf("more than %d sections", MaxSections))
	}
	x.tooMany = true
}

func (x *index) key(n int, line string) {
	name, value, ok := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	switch {
	case !ok:
		x.issue(n, "", fmt.Sprintf(`line %q has no "="`, abridge(line)))
		return
	case !isKeyName(name):
		x.issue(n, "", fmt.Sprintf("key %q is not made of a-z, 0-9 and _", abridge(name)))
		return
	case x.skip:
		return
	case len(x.sections) == 0:
		x.issue(n, name, "key stands before any section")
		return
	case strings.HasPrefix(value, "`"), strings.HasPrefix(value, `"""`):
		x.issue(n, name, "value starts with a quote of multi-line values, which are not allowed")
		return
	}
	if first, again := x.firstKey[name]; again {
		x.issue(n, name, fmt.Sprintf("is given twice, first on line %d", first))
		return
	}
	x.firstKey[name] = n
	s := &x.sections[len(x.sections)-1]
	if len(s.Keys) == MaxSectionKeys {
		x.issue(n, name, fmt.Sprintf("more than %d keys in one section", MaxSectionKeys))
		return
	}
	s.Keys = append(s.Keys, Key{Name: name, Line: n})
	fmt.Fprintf(&x.clean, "%s = %s\n", name, value)
}

func isKeyName(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '_' {
			return false
		}
	}
	return true
}

// abridge keeps messages short for long lines.
func abridge(s string) string {
	const most = 40 // runes
	r := []rune(s)
	if len(r) <= most {
		return s
	}
	return string(r[:most]) + "..."
}

func (x *index) issue(n int, key, message string) {
	if len(x.issues) == MaxIssues {
		x.dropped++
		return
	}
	i := Issue{Line: n, Key: key, Message: message}
	if !x.skip && len(x.sections) > 0 {
		i.Section = x.sections[len(x.sections)-1].Name
	}
	x.issues = append(x.issues, i)
}
