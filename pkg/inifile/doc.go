// Package inifile reads INI text into sections and keys that know their
// lines, and binds typed values to keys. gopkg.in/ini.v1 reads the values; a
// line index beside it finds what that library accepts silently (duplicates,
// stray text, multi-line values) and where everything stands.
//
// The accepted form is one "[name]" header, "key = value" or comment a line.
// Keys are a-z, 0-9 and '_'. Comments start with '#' or ';', at the start of a
// line or after a space. Values don't span lines.
package inifile
