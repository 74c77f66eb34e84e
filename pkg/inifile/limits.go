package inifile

// Limits of a text and of the reported issues.
const (
	MaxBytes       = 4 << 20 // size of the text
	MaxSections    = 100_000
	MaxSectionKeys = 128    // keys in one section
	MaxIssues      = 10_000 // reported, not counting a last one that states how many were omitted
)
