package object

import "fmt"

// Check lists every error of a set taken as one unit: values out of range,
// references to objects that are not in the set, chains of references that
// return to their start, adapters that don't fit, and groups that can't be
// placed. at tells where the objects stand; it may be nil.
func Check(s Set, at *Positions) []Problem {
	c := &checker{set: &s, at: at, known: make(map[Ref]bool)}
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
	set      *Set
	at       *Positions
	known    map[Ref]bool
	problems []Problem
}

func (c *checker) add(r Ref, field, format string, args ...any) {
	c.problems = append(c.problems, c.at.problem(r, field, fmt.Sprintf(format, args...)))
}

// item checks one object by itself.
func (c *checker) item(it item) {
	if err := CheckName(it.ref.Name); err != nil {
		c.add(it.ref, "", "%v; allowed: %s", err, nameRule)
	}
	if c.known[it.ref] {
		c.add(it.ref, "", "is in the set twice")
	}
	c.known[it.ref] = true
	for _, f := range it.fields {
		if c.at.unread(it.ref, f.Key) {
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

// organisations refuses two organisations with one key: a request would belong
// to both.
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
