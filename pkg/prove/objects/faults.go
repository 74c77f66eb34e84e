package objects

import (
	"math/rand/v2"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// fault introduces an error into a valid set.
type fault struct {
	name    string
	corrupt func(r *rand.Rand, s object.Set) string // returns the set's text
}

// faults holds the errors that a set can have.
var faults = []fault{
	{"removal of what is referred to", func(r *rand.Rand, s object.Set) string {
		switch r.IntN(3) {
		case 0:
			s.Versions = s.Versions[1:]
		case 1:
			s.FailureDomains = s.FailureDomains[1:]
		default:
			s.ModelGroups = s.ModelGroups[1:]
		}
		return object.Format(s)
	}},
	{"value out of range", func(r *rand.Rand, s object.Set) string {
		s.ModelGroups[r.IntN(len(s.ModelGroups))].Copies = 5000 + r.IntN(1000)
		return object.Format(s)
	}},
	{"minimum over copies", func(r *rand.Rand, s object.Set) string {
		m := &s.ModelGroups[r.IntN(len(s.ModelGroups))]
		m.Minimum = m.Copies + 1
		return object.Format(s)
	}},
	{"placement that can't be", func(r *rand.Rand, s object.Set) string {
		m := &s.ModelGroups[r.IntN(len(s.ModelGroups))]
		m.Copies = hostsOfFabric/m.HostsPerGroup + 1 + r.IntN(10)
		return object.Format(s)
	}},
	{"cycle of references", func(r *rand.Rand, s object.Set) string {
		last := s.Services[len(s.Services)-1].Name
		s.Services[r.IntN(len(s.Services))].Services = []string{last}
		s.Services[len(s.Services)-1].Services = append(s.Services[len(s.Services)-1].Services, s.Services[0].Name)
		s.Services[0].Services = []string{last}
		return object.Format(s)
	}},
	{"adapter that does not fit", func(_ *rand.Rand, s object.Set) string {
		s.Adapters[0].Model = "code"
		return object.Format(s)
	}},
	{"object twice", func(r *rand.Rand, s object.Set) string {
		text := object.Format(s)
		objects := strings.Split(text, "\n\n")
		return text + "\n" + objects[r.IntN(len(objects))] + "\n"
	}},
	{"unknown field", func(r *rand.Rand, s object.Set) string {
		return insertLine(r, object.Format(s), "flavour = sweet")
	}},
	{"text that is not UTF-8", func(r *rand.Rand, s object.Set) string {
		return insertLine(r, object.Format(s), "weight = \xff")
	}},
}

// insertLine inserts a line below a random header.
func insertLine(r *rand.Rand, text, line string) string {
	lines := strings.Split(text, "\n")
	var headers []int
	for i, l := range lines {
		if strings.HasPrefix(l, "[") {
			headers = append(headers, i)
		}
	}
	at := headers[r.IntN(len(headers))] + 1
	return strings.Join(lines[:at], "\n") + "\n" + line + "\n" + strings.Join(lines[at:], "\n")
}
