package inifile

// Limits of one text.
const (
	MaxBytes       = 4 << 20 // of the whole text
	MaxSections    = 100_000
	MaxSectionKeys = 128    // keys in one section
	MaxIssues      = 10_000 // told at once; the last one counts those left out
)
