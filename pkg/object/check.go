package object

import "fmt"

// Check validates a set as a unit and lists every error: values out of range,
// references to objects that are not in the set, reference cycles, incompatible
// adapters, and groups that can't be placed. at holds the positions of the objects
// in their file; it may be nil.
func Check(s Set, at *Positions) []Problem {
	c := &checker{set: &s, positions: at, known: make(map[Ref]bool)}
	for _, it := range s.items() {
		c.item(it)
	}
	c.references()
	c.adapters()
	c.modelGroups()
	c.services()
	c.organisations()
	c.cycles()
	c.placement()
	sortProblems(c.problems)
	return c.problems
}

// checker collects the problems of one set.
type checker struct {
	set       *Set
	positions *Positions
	known     map[Ref]bool
	problems  []Problem
}

func (c *checker) add(r Ref, field, format string, args ...any) {
	c.problems = append(c.problems, c.positions.problem(r, field, fmt.Sprintf(format, args...)))
}

// item validates one object on its own.
func (c *checker) item(it item) {
	if err := CheckName(it.ref.Name); err != nil {
		c.add(it.ref, "", "%v; allowed: %s", err, nameRule)
	}
	if c.known[it.ref] {
		c.add(it.ref, "", "is defined twice in the set")
	}
	c.known[it.ref] = true
	for _, f := range it.fields {
		if c.positions.unparsed(it.ref, f.Key) {
			continue
		}
		if f.Required && (f.Get() == "" || f.Get() == "0") {
			c.add(it.ref, f.Key, "is missing; allowed: %s", f.Allowed)
			continue
		}
		if err := f.Check(); err != nil {
			c.add(it.ref, f.Key, "%v; allowed: %s", err, f.Allowed)
		}
	}
}

func (c *checker) modelGroups() {
	for _, m := range c.set.ModelGroups {
		r := Ref{KindModelGroup, m.Name}
		if m.Minimum > m.Copies {
			c.add(r, "minimum", "%d is more than copies, which is %d", m.Minimum, m.Copies)
		}
		if m.ColdInFlight > m.MaxInFlight {
			c.add(r, "cold_in_flight", "%d is more than max_in_flight, which is %d", m.ColdInFlight, m.MaxInFlight)
		}
	}
}

func (c *checker) services() {
	for _, s := range c.set.Services {
		if s.ColdInFlight > s.MaxInFlight {
			c.add(Ref{KindService, s.Name}, "cold_in_flight", "%d is more than max_in_flight, which is %d", s.ColdInFlight, s.MaxInFlight)
		}
	}
}

// organisations rejects two organisations with the same key, since a request would
// then belong to both.
func (c *checker) organisations() {
	first := make(map[string]string)
	for _, o := range c.set.Organisations {
		if o.KeySHA256 == "" {
			continue
		}
		if other, taken := first[o.KeySHA256]; taken {
			c.add(Ref{KindOrganisation, o.Name}, "key_sha256", "is the key of organisation %s too", other)
			continue
		}
		first[o.KeySHA256] = o.Name
	}
}
