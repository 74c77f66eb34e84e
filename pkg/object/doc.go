// Package object holds the named objects that operators edit: their types,
// their INI form, and the check of a whole set as one unit. A set is published
// whole or not at all; a check lists every error with file, line, object and
// field.
//
// Load reads and checks a text; Parse and Check are its two halves. Format
// writes the canonical text of a set, which Load reads back to the same set.
package object
