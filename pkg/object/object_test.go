package object

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/inifile"
	"pgregory.net/rapid"
)

// drawSet generates a valid set: references go to objects generated earlier, and
// every fabric domain has spare hosts.
func drawSet(t *rapid.T) Set {
	var s Set
	count := func(what string, least, most int) int { return rapid.IntRange(least, most).Draw(t, what) }
	for i := range count("failure domains", 1, 3) {
		s.FailureDomains = append(s.FailureDomains, FailureDomain{Name: fmt.Sprint("fd-", i), Region: "r"})
	}
	for i := range count("fabric domains", 1, 4) {
		s.FabricDomains = append(s.FabricDomains, FabricDomain{
			Name: fmt.Sprint("fabric-", i), FailureDomain: rapid.SampledFrom(s.FailureDomains).Draw(t, "place").Name, Hosts: count("hosts", 1000, 2000),
		})
	}
	for i := range count("versions", 1, 3) {
		s.Versions = append(s.Versions, Version{Name: fmt.Sprint("v", i), Model: "chat", WeightsBytes: rapid.Int64Range(1, tib).Draw(t, "bytes")})
	}
	s.Adapters = append(s.Adapters, Adapter{Name: "tone", Model: "chat", Versions: []string{"v0"}})
	for i := range count("model groups", 0, 4) {
		s.ModelGroups = append(s.ModelGroups, drawModelGroup(t, fmt.Sprint("m", i)))
	}
	for i := range count("services", 0, 4) {
		s.Services = append(s.Services, drawService(t, i, s.ModelGroups))
	}
	for i := range count("organisations", 0, 4) {
		o := defaultOrganisation(fmt.Sprint("o", i))
		o.Weight = count("weight", 1, maxWeight)
		o.KeySHA256 = fmt.Sprintf("%064x", i+1)
		s.Organisations = append(s.Organisations, o)
	}
	return s
}

func drawModelGroup(t *rapid.T, name string) ModelGroup {
	m := defaultModelGroup(name)
	m.Version = "v0"
	if rapid.Bool().Draw(t, "adapter") {
		m.Adapters = []string{"tone"}
	}
	m.Copies = rapid.IntRange(1, 5).Draw(t, "copies")
	m.Minimum = rapid.IntRange(0, m.Copies).Draw(t, "minimum")
	m.HostsPerGroup = rapid.IntRange(1, maxPerGroup).Draw(t, "size")
	m.Priority = rapid.IntRange(0, maxPriority).Draw(t, "priority")
	m.RampTime = time.Duration(rapid.Int64Range(0, int64(maxRamp)).Draw(t, "ramp"))
	return m
}

func drawService(t *rapid.T, i int, groups []ModelGroup) Service {
	s := defaultService(fmt.Sprint("s", i))
	s.OnceOnly = []Call{{"POST", "/stamp"}, {"PUT", fmt.Sprint("/x/", i)}}[:rapid.IntRange(0, 2).Draw(t, "calls")]
	if len(s.OnceOnly) == 0 {
		s.OnceOnly = nil
	}
	s.MaxAnswer = rapid.Int64Range(0, maxAnswer).Draw(t, "answer")
	if len(groups) > 0 {
		s.ModelGroups = []string{rapid.SampledFrom(groups).Draw(t, "group").Name}
	}
	if i > 0 {
		s.Services = []string{fmt.Sprint("s", i-1)}
	}
	return s
}

// TestFormatLoadRoundTrip checks that generated sets are unchanged by Format and Load.
func TestFormatLoadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawSet(t)
		if problems := Check(want, nil); len(problems) > 0 {
			t.Fatal(problems)
		}
		got, problems := Load("drawn.ini", []byte(Format(want)))
		if len(problems) > 0 {
			t.Fatalf("%v\n%s", problems, Format(want))
		}
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("differ:\n%s\n%s", Format(want), Format(got))
		}
		if d := Diff(want, got); len(d) > 0 {
			t.Fatal(d)
		}
	})
}

// TestRemovingReferencedVersion removes a version from a generated set: Check must
// report exactly the references to it.
func TestRemovingReferencedVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSet(t)
		removed := rapid.SampledFrom(s.Versions).Draw(t, "removed")
		var dangling int
		for _, r := range referencesOf(&s) {
			if r.to == (Ref{KindVersion, removed.Name}) {
				dangling++
			}
		}
		var left []Version
		for _, v := range s.Versions {
			if v.Name != removed.Name {
				left = append(left, v)
			}
		}
		s.Versions = left
		problems := Check(s, nil)
		if len(problems) != dangling {
			t.Fatalf("%d problems for %d references: %v", len(problems), dangling, problems)
		}
		for _, p := range problems {
			if !strings.Contains(p.Message, "[version "+removed.Name+"], which is not in the set") {
				t.Fatal(p)
			}
		}
	})
}

func TestDiff(t *testing.T) {
	before, _ := Load("a.ini", []byte(goodSet))
	after, _ := Load("b.ini", []byte(strings.Replace(goodSet, "copies = 2", "copies = 1", 1)+"[version v2]\nmodel = chat\n"))
	after.Organisations = nil
	want := []string{
		"added [version v2]",
		"changed [model-group assistant]\n  copies: \"2\" -> \"1\"",
		"removed [organisation quay]",
	}
	var got []string
	for _, d := range Diff(before, after) {
		got = append(got, d.String())
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %q", got)
	}
}

func TestTextsOverLimits(t *testing.T) {
	cases := []struct {
		name, text, part string
		problems         int
	}{
		{"too long", strings.Repeat("#", inifile.MaxBytes+1), "is longer than", 1},
		{"too many objects", manyOrganisations(inifile.MaxSections + 1), "more than 100000 sections", 1},
		{"too many unknown kinds", strings.Repeat("[a]\n", 20_000), "9999 more", maxProblems + 1},
		{"too many problems", strings.Repeat("x\n", 20_000), "10000 more", inifile.MaxIssues + 1},
		{"too many fields", "[version v]\nmodel = m\n" + manyKeys(inifile.MaxSectionKeys), "more than 128 keys", inifile.MaxSectionKeys},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := Load("limit.ini", []byte(c.text))
			found := false
			for _, p := range problems {
				found = found || strings.Contains(p.Message, c.part)
			}
			if len(problems) != c.problems || !found {
				t.Fatalf("%d problems, last %v", len(problems), problems[len(problems)-1])
			}
		})
	}
}

func manyOrganisations(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[organisation o%d]\n", i)
	}
	return b.String()
}

func manyKeys(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "k%d = 1\n", i)
	}
	return b.String()
}

// TestManyObjects checks a set near the limits: a long chain of services and many
// model groups must not overflow the stack or take too long.
func TestManyObjects(t *testing.T) {
	var b strings.Builder
	b.WriteString("[failure-domain a]\nregion=r\n[version v]\nmodel=m\n")
	for i := range 20_000 {
		fmt.Fprintf(&b, "[fabric-domain f%d]\nfailure_domain=a\nhosts=1\n", i)
		fmt.Fprintf(&b, "[model-group m%d]\nversion=v\n", i)
		fmt.Fprintf(&b, "[service s%d]\nservices=s%d\n", i, min(i+1, 19_999))
	}
	_, problems := Load("many.ini", []byte(b.String()))
	if len(problems) != 1 || !strings.Contains(problems[0].Message, "cycle of references: [service s19999]") {
		t.Fatalf("%d problems, first %v", len(problems), problems[0])
	}
}

// FuzzLoad looks for texts that cause a panic, or that are accepted but change when
// formatted and loaded again.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(goodSet))
	for _, w := range wrongSets {
		f.Add([]byte(w.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := Load("fuzz.ini", text)
		if len(problems) > 0 {
			return
		}
		again, problems := Load("again.ini", []byte(Format(s)))
		if len(problems) > 0 || !reflect.DeepEqual(s, again) {
			t.Fatalf("accepted text changes: %v\n%s", problems, Format(s))
		}
	})
}
