// Package prefix keeps hints of which prompt prefixes an upstream has cached.
// Cache events come late and with gaps: a gap in the sequence clears what was
// known of that upstream. A hint is never a fact.
package prefix
