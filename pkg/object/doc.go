// Package object defines the named objects that operators edit: their types, their
// INI representation, and the validation of a complete set. A set is published
// atomically; validation reports every error with file, line, object and field.
//
// Load parses and validates a text, as Parse followed by Check does. Format writes
// the canonical text of a set, from which Load restores an equal set.
package object
