// Package inifile parses INI text into sections and keys with line numbers, and binds
// typed values to keys. gopkg.in/ini.v1 parses the values; a separate line index
// records line numbers and rejects what that library accepts silently: duplicates,
// stray text and multi-line values.
//
// Each line is a "[name]" header, "key = value", a comment, or empty. Keys consist of
// a-z, 0-9 and '_'. Comments start with '#' or ';', at the start of a line or after a
// space. Values don't span lines.
package inifile
