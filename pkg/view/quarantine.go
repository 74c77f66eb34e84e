package view

// Fingerprint identifies a request's content for one organisation, as a
// hexadecimal digest.
type Fingerprint string

// Quarantine refuses requests of one fingerprint.
type Quarantine struct {
	Fingerprint  Fingerprint
	Organisation string
	Crashes      int
	Until        Time
	// Isolate marks a suspect: it may run, alone, on one upstream at a time.
	// A convicted fingerprint has Isolate false and is refused.
	Isolate bool
	// Trial is the only gate that may run a suspect; "" while there is none.
	Trial GateName
}
