package object

import (
	"fmt"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

// kinds lists all kinds in the order of the canonical text.
var kinds = []Kind{
	KindFailureDomain, KindFabricDomain, KindVersion, KindAdapter, KindModelGroup, KindService, KindOrganisation,
}

// Parse reads a set from INI text without validating it as a whole. file is the file
// name in problems. Absent fields get their default values.
func Parse(file string, text []byte) (Set, []Problem) {
	s, _, problems := parse(file, text)
	return s, problems
}

// Load parses and validates a set. A set with problems must not be published.
func Load(file string, text []byte) (Set, []Problem) {
	s, at, problems := parse(file, text)
	problems = append(problems, Check(s, at)...)
	sortProblems(problems)
	return s, truncateProblems(file, problems)
}

// maxProblems bounds the problems that are reported, not counting the last one, which
// states how many were omitted.
const maxProblems = inifile.MaxIssues + 1

// truncateProblems drops problems beyond maxProblems, so that the reply for a text with very many
// errors stays small enough to send.
func truncateProblems(file string, problems []Problem) []Problem {
	extra := len(problems) - maxProblems
	if extra <= 0 {
		return problems
	}
	last := Problem{File: file, Message: fmt.Sprintf("%d more problems omitted", extra)}
	return append(problems[:maxProblems:maxProblems], last)
}

func parse(file string, text []byte) (Set, *Positions, []Problem) {
	r := &setReader{positions: newPositions(file)}
	doc, issues := inifile.Read(text)
	for _, i := range issues {
		r.problems = append(r.problems, Problem{File: file, Line: i.Line, Object: i.Section, Field: i.Key, Message: i.Message})
	}
	for _, s := range doc.Sections {
		r.section(s)
	}
	r.set.sort()
	sortProblems(r.problems)
	return r.set, r.positions, r.problems
}

// setReader builds a set from the sections of a text.
type setReader struct {
	set       Set
	positions *Positions
	problems  []Problem
}

func (r *setReader) section(s inifile.Section) {
	ref, ok := r.ref(s)
	if !ok {
		return
	}
	first, duplicate := r.positions.lines[ref]
	target := &r.set
	if duplicate {
		r.problem(s, s.Line, "", fmt.Sprintf("is defined twice, first on line %d", first.header))
		target = new(Set) // parses the fields of the duplicate only for their errors
	}
	fields, _ := target.add(ref)
	at := objectPosition{header: s.Line, fields: make(map[string]int, len(s.Keys))}
	for _, k := range s.Keys {
		at.fields[k.Name] = k.Line
		if !r.field(s, fields, k) {
			at.unparsed = addToSet(at.unparsed, k.Name)
		}
	}
	if !duplicate {
		r.positions.lines[ref] = at
	}
}

func addToSet(set map[string]bool, key string) map[string]bool {
	if set == nil {
		set = make(map[string]bool)
	}
	set[key] = true
	return set
}

// ref parses a section header.
func (r *setReader) ref(s inifile.Section) (Ref, bool) {
	kind, name, _ := strings.Cut(s.Name, " ")
	ref := Ref{Kind: Kind(kind), Name: name}
	if _, ok := new(Set).add(ref); !ok {
		r.problem(s, s.Line, "", fmt.Sprintf("unknown kind %q; kinds are %s", kind, joinKinds()))
		return ref, false
	}
	if name == "" {
		r.problem(s, s.Line, "", fmt.Sprintf("object has no name; write [%s NAME]", kind))
		return ref, false
	}
	return ref, true
}

func joinKinds() string {
	words := make([]string, len(kinds))
	for i, k := range kinds {
		words[i] = string(k)
	}
	return strings.Join(words, ", ")
}

// field parses one key into the object's field. It is false if the value could not be
// parsed.
func (r *setReader) field(s inifile.Section, fields []inifile.Field, k inifile.Key) bool {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		if f.Key != k.Name {
			names = append(names, f.Key)
			continue
		}
		if err := f.Set(k.Value); err != nil {
			r.problem(s, k.Line, k.Name, fmt.Sprintf("%v; allowed: %s", err, f.Allowed))
			return false
		}
		return true
	}
	r.problem(s, k.Line, k.Name, "unknown field; fields are "+strings.Join(names, ", "))
	return true
}

func (r *setReader) problem(s inifile.Section, line int, field, message string) {
	r.problems = append(r.problems, Problem{File: r.positions.file, Line: line, Object: s.Name, Field: field, Message: message})
}
