package inifile

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// lineIndex records the lines of headers and keys, and copies the well-formed lines for
// the INI library.
type lineIndex struct {
	sections        []Section
	issues          []Issue
	omittedIssues   int // issues beyond MaxIssues
	validText       bytes.Buffer
	firstKey        map[string]int // line of each key of the current section
	skipKeys        bool           // the last header was malformed or exceeded MaxSections
	tooManySections bool
}

func newLineIndex(text []byte) *lineIndex {
	x := &lineIndex{}
	n := 0
	for line := range bytes.Lines(text) {
		n++
		x.parseLine(n, bytes.TrimSpace(line))
	}
	return x
}

func (x *lineIndex) parseLine(n int, line []byte) {
	if !utf8.Valid(line) {
		x.addIssue(n, "", "is not UTF-8")
		return
	}
	if i := bytes.IndexFunc(line, isControl); i >= 0 {
		x.addIssue(n, "", fmt.Sprintf("contains a control character at column %d", i+1))
		return
	}
	switch {
	case len(line) == 0, line[0] == '#', line[0] == ';':
	case line[0] == '[':
		x.parseHeader(n, string(line))
	default:
		x.parseKey(n, string(line))
	}
}

func isControl(r rune) bool { return unicode.IsControl(r) && r != '\t' }

func (x *lineIndex) parseHeader(n int, line string) {
	x.skipKeys = true
	name, rest, closed := strings.Cut(line[1:], "]")
	name = strings.Join(strings.Fields(name), " ")
	rest = strings.TrimSpace(rest)
	switch {
	case !closed:
		x.addIssue(n, "", `section header has no "]"`)
		return
	case name == "":
		x.addIssue(n, "", "section header has no name")
		return
	case strings.ContainsAny(name, "[#;"):
		x.addIssue(n, "", fmt.Sprintf("section name %q contains one of [ # ;", name))
		return
	case rest != "" && rest[0] != '#' && rest[0] != ';':
		x.addIssue(n, "", fmt.Sprintf("text %q after the section header", rest))
		return
	}
	if len(x.sections) == MaxSections {
		x.reportTooManySections(n)
		return
	}
	x.skipKeys = false
	x.sections = append(x.sections, Section{Name: name, Line: n})
	x.firstKey = make(map[string]int)
	fmt.Fprintf(&x.validText, "[%s]\n", name)
}

// reportTooManySections reports once that there are too many sections.
func (x *lineIndex) reportTooManySections(n int) {
	if !x.tooManySections {
		x.addIssue(n, "", fmt.Sprintf("more than %d sections", MaxSections))
	}
	x.tooManySections = true
}

func (x *lineIndex) parseKey(n int, line string) {
	name, value, ok := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	switch {
	case !ok:
		x.addIssue(n, "", fmt.Sprintf(`line %q has no "="`, truncate(line)))
		return
	case !isKeyName(name):
		x.addIssue(n, "", fmt.Sprintf("key %q must consist of a-z, 0-9 and _", truncate(name)))
		return
	case x.skipKeys:
		return
	case len(x.sections) == 0:
		x.addIssue(n, name, "key comes before any section")
		return
	case strings.HasPrefix(value, "`"), strings.HasPrefix(value, `"""`):
		x.addIssue(n, name, "value starts with a quote that opens a multi-line value, which is not allowed")
		return
	}
	if first, duplicate := x.firstKey[name]; duplicate {
		x.addIssue(n, name, fmt.Sprintf("is given twice, first on line %d", first))
		return
	}
	x.firstKey[name] = n
	s := &x.sections[len(x.sections)-1]
	if len(s.Keys) == MaxSectionKeys {
		x.addIssue(n, name, fmt.Sprintf("more than %d keys in one section", MaxSectionKeys))
		return
	}
	s.Keys = append(s.Keys, Key{Name: name, Line: n})
	fmt.Fprintf(&x.validText, "%s = %s\n", name, value)
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

// truncate shortens text from the file for use in messages.
func truncate(s string) string {
	const maxRunes = 40 // runes
	r := []rune(s)
	if len(r) <= maxRunes {
		return s
	}
	return string(r[:maxRunes]) + "..."
}

func (x *lineIndex) addIssue(n int, key, message string) {
	if len(x.issues) == MaxIssues {
		x.omittedIssues++
		return
	}
	i := Issue{Line: n, Key: key, Message: message}
	if !x.skipKeys && len(x.sections) > 0 {
		i.Section = x.sections[len(x.sections)-1].Name
	}
	x.issues = append(x.issues, i)
}
