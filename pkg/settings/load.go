package settings

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

// Load reads a program's settings. An empty path reads no file, environ has the form
// of os.Environ, and sets are the key=value pairs of --set flags. Settings with
// problems must not be used.
func Load[T any, P pointer[T]](path string, environ, sets []string) (T, []Problem) {
	s := Default[T, P]()
	l := newLoader(P(&s), path)
	if path != "" {
		l.file(path)
	}
	l.environment(environ)
	l.flags(sets)
	l.check()
	return s, l.problems
}

// origin is the source of a key's value.
type origin struct {
	file string
	line int
	key  string // name of the key in that source
}

// loader fills in the settings of one program and collects the problems.
type loader struct {
	program  Program
	path     string
	fields   map[string]inifile.Field
	order    []string
	origins  map[string]origin
	unparsed map[string]bool
	problems []Problem
}

func newLoader(p Program, path string) *loader {
	l := &loader{
		program: p, path: path,
		fields:   make(map[string]inifile.Field),
		origins:  make(map[string]origin),
		unparsed: make(map[string]bool),
	}
	for _, f := range p.Fields() {
		l.fields[f.Key] = f
		l.order = append(l.order, f.Key)
	}
	return l
}

func (l *loader) file(path string) {
	text, err := readBounded(path)
	if err != nil {
		l.problems = append(l.problems, Problem{File: path, Message: err.Error()})
		return
	}
	doc, issues := inifile.Read(text)
	for _, i := range issues {
		l.problems = append(l.problems, Problem{File: path, Line: i.Line, Key: i.Key, Message: i.Message})
	}
	seen := false
	for _, s := range doc.Sections {
		switch {
		case s.Name != l.program.Section():
			l.problems = append(l.problems, Problem{File: path, Line: s.Line,
				Message: fmt.Sprintf("unknown section [%s]; this program reads [%s]", s.Name, l.program.Section())})
			continue
		case seen:
			l.problems = append(l.problems, Problem{File: path, Line: s.Line, Message: fmt.Sprintf("section [%s] is given twice", s.Name)})
		}
		seen = true
		for _, k := range s.Keys {
			l.set(k.Name, k.Value, origin{path, k.Line, k.Name})
		}
	}
}

// readBounded reads at most one byte more than the maximum size of a settings file.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, inifile.MaxBytes+1))
}

// EnvironmentPrefix returns the prefix of a program's environment variables.
func EnvironmentPrefix(p Program) string {
	return "SESAME_" + strings.ToUpper(p.Section()) + "_"
}

func (l *loader) environment(environ []string) {
	prefix := EnvironmentPrefix(l.program)
	for _, v := range slices.Sorted(slices.Values(environ)) {
		name, value, _ := strings.Cut(v, "=")
		if key, ok := strings.CutPrefix(name, prefix); ok {
			l.set(strings.ToLower(key), value, origin{Environment, 0, name})
		}
	}
}

func (l *loader) flags(sets []string) {
	for _, s := range sets {
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			l.problems = append(l.problems, Problem{File: Flag, Message: fmt.Sprintf("%q is not key=value", s)})
			continue
		}
		l.set(strings.TrimSpace(key), strings.TrimSpace(value), origin{Flag, 0, key})
	}
}

func (l *loader) set(key, value string, from origin) {
	f, ok := l.fields[key]
	if !ok {
		l.problems = append(l.problems, Problem{File: from.file, Line: from.line, Key: from.key,
			Message: "unknown key; keys are " + strings.Join(l.order, ", ")})
		return
	}
	l.origins[key] = from
	err := f.Set(value)
	l.unparsed[key] = err != nil
	if err != nil {
		l.addProblem(key, err.Error())
	}
}

// check validates each value, and the conflicts between values if all are valid.
func (l *loader) check() {
	allValid := len(l.problems) == 0
	for _, key := range l.order {
		f := l.fields[key]
		switch {
		case l.unparsed[key]:
			continue
		case f.Required && (f.Get() == "" || f.Get() == "0"):
			l.addProblem(key, "is missing")
			allValid = false
			continue
		}
		if err := f.Check(); err != nil {
			l.addProblem(key, err.Error())
			allValid = false
		}
	}
	if allValid {
		for _, c := range l.program.Conflicts() {
			l.addProblem(c.Key, c.Message)
		}
	}
	slices.SortStableFunc(l.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// addProblem adds a problem at the origin of a key's value.
func (l *loader) addProblem(key, message string) {
	from, ok := l.origins[key]
	if !ok {
		from = origin{file: cmp.Or(l.path, "settings"), key: key}
	}
	l.problems = append(l.problems, Problem{File: from.file, Line: from.line, Key: from.key,
		Message: message, Allowed: l.fields[key].Allowed})
}
