package inifile

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFieldRoundTrip checks that Set restores what Get returned, for each kind of field.
func TestFieldRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint64().Draw(t, "number")
		signed := rapid.Int64().Draw(t, "signed")
		size := rapid.Int64Range(0, math.MaxInt64).Draw(t, "size")
		duration := time.Duration(rapid.Int64().Draw(t, "duration"))
		words := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,5}`), 0, 4).Draw(t, "words")
		pairs := []struct{ from, to Field }{
			{Int("k", &number, 0, math.MaxUint64, ""), Int("k", new(uint64), 0, math.MaxUint64, "")},
			{Int("k", &signed, math.MinInt64, math.MaxInt64, ""), Int("k", new(int64), 0, 0, "")},
			{Bytes("k", &size, 0, math.MaxInt64, ""), Bytes("k", new(int64), 0, 0, "")},
			{Duration("k", &duration, 0, 0, ""), Duration("k", new(time.Duration), 0, 0, "")},
			{Strings("k", &words, "", nil, ""), Strings("k", new([]string), "", nil, "")},
		}
		for _, p := range pairs {
			if err := p.to.Set(p.from.Get()); err != nil {
				t.Fatal(err)
			}
			if p.to.Get() != p.from.Get() {
				t.Fatalf("wrote %q, read %q", p.from.Get(), p.to.Get())
			}
		}
	})
}

func TestFieldsRejectInvalidValues(t *testing.T) {
	var (
		number   uint64
		size     int64
		duration time.Duration
		yes      bool
		words    []string
	)
	any := func(string) error { return nil }
	cases := []struct {
		field Field
		text  string
	}{
		{Int("k", &number, 1, 9, ""), "-1"},
		{Int("k", &number, 1, 9, ""), "1e3"},
		{Int("k", &number, 1, 9, ""), "10"},
		{Int("k", &number, 1, 9, ""), "18446744073709551616"},
		{Bytes("k", &size, 0, 9, ""), "-1KiB"},
		{Bytes("k", &size, 0, 9, ""), "8KB"},
		{Bytes("k", &size, 0, 9, ""), "9223372036854775807KiB"},
		{Bytes("k", &size, 0, 9, ""), "10"},
		{Duration("k", &duration, 0, time.Second, ""), "5"},
		{Duration("k", &duration, 0, time.Second, ""), "2s"},
		{Bool("k", &yes, ""), "true"},
		{Strings("k", &words, "", any, ""), "a,,b"},
		{Strings("k", &words, "", any, ""), "a, a"},
	}
	for _, c := range cases {
		err := c.field.Set(c.text)
		if err == nil {
			err = c.field.Check()
		}
		if err == nil {
			t.Errorf("%q was taken for %s", c.text, c.field.Allowed)
		}
	}
}

// TestReadKeepsOrderAndLines parses a text with all accepted syntax.
func TestReadKeepsOrderAndLines(t *testing.T) {
	text := "\xef\xbb\xbf# first\r\n[b  x] # why\r\nkey = a#b ; c\r\nother=\"q\"\r\n\r\n  [a]\r\n\tempty =\r\n"
	doc, issues := Read([]byte(text))
	if len(issues) > 0 {
		t.Fatal(issues)
	}
	want := []Section{
		{Name: "b x", Line: 2, Keys: []Key{{"key", "a#b", 3}, {"other", "q", 4}}},
		{Name: "a", Line: 6, Keys: []Key{{"empty", "", 7}}},
	}
	if len(doc.Sections) != len(want) {
		t.Fatal(doc)
	}
	for i, s := range doc.Sections {
		if s.Name != want[i].Name || s.Line != want[i].Line || len(s.Keys) != len(want[i].Keys) {
			t.Fatalf("got %+v, want %+v", s, want[i])
		}
		for j, k := range s.Keys {
			if k != want[i].Keys[j] {
				t.Errorf("got %+v, want %+v", k, want[i].Keys[j])
			}
		}
	}
}
