package inifile

import (
	"bytes"
	"fmt"

	"gopkg.in/ini.v1"
)

// childDelimiter can't occur in a section's name, so that no section inherits
// keys from another.
const childDelimiter = "\x00"

var utf8Mark = []byte("\xef\xbb\xbf")

// Read returns what a text holds and every error in its form. Lines in bad
// form are left out of the document.
func Read(text []byte) (Document, []Issue) {
	if len(text) > MaxBytes {
		return Document{}, []Issue{{Message: fmt.Sprintf("text of %d bytes is longer than %d", len(text), MaxBytes)}}
	}
	x := newIndex(bytes.TrimPrefix(text, utf8Mark))
	if err := x.values(); err != nil {
		x.issue(0, "", err.Error())
	}
	if x.dropped > 0 {
		x.issues = append(x.issues, Issue{Message: fmt.Sprintf("%d more errors are left out", x.dropped)})
	}
	return Document{Sections: x.sections}, x.issues
}

// values fills in the values as the INI library reads them.
func (x *index) values() error {
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		AllowNonUniqueSections:   true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    childDelimiter,
	}, x.clean.Bytes())
	if err != nil {
		return fmt.Errorf("not INI: %w", err)
	}
	read := f.Sections()[1:] // the first is the library's default section
	if len(read) != len(x.sections) {
		return fmt.Errorf("not INI: %d sections were read, %d headers were found", len(read), len(x.sections))
	}
	for i := range x.sections {
		keys := x.sections[i].Keys
		for j := range keys {
			keys[j].Value = read[i].Key(keys[j].Name).Value()
		}
	}
	return nil
}
