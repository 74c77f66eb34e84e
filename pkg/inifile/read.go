package inifile

import (
	"bytes"
	"fmt"

	"gopkg.in/ini.v1"
)

// childDelimiter can't occur in a section's name, so no section inherits keys from
// another.
const childDelimiter = "\x00"

var byteOrderMark = []byte("\xef\xbb\xbf")

// Read parses a text and returns its document and every syntax error. Malformed lines
// are left out of the document.
func Read(text []byte) (Document, []Issue) {
	if len(text) > MaxBytes {
		return Document{}, []Issue{{Message: fmt.Sprintf("text of %d bytes is longer than %d", len(text), MaxBytes)}}
	}
	x := newLineIndex(bytes.TrimPrefix(text, byteOrderMark))
	if err := x.readValues(); err != nil {
		x.addIssue(0, "", err.Error())
	}
	if x.omittedIssues > 0 {
		x.issues = append(x.issues, Issue{Message: fmt.Sprintf("%d more errors omitted", x.omittedIssues)})
	}
	return Document{Sections: x.sections}, x.issues
}

// readValues fills in the values as parsed by the INI library.
func (x *lineIndex) readValues() error {
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		AllowNonUniqueSections:   true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    childDelimiter,
	}, x.validText.Bytes())
	if err != nil {
		return fmt.Errorf("not INI: %w", err)
	}
	read := f.Sections()[1:] // the first is the library's default section
	if len(read) != len(x.sections) {
		return fmt.Errorf("not INI: parsed %d sections, but found %d headers", len(read), len(x.sections))
	}
	for i := range x.sections {
		keys := x.sections[i].Keys
		for j := range keys {
			keys[j].Value = read[i].Key(keys[j].Name).Value()
		}
	}
	return nil
}
