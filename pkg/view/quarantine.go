package view

// Fingerprint identifies the content of a request of one organisation, as a
// hexadecimal digest.
type Fingerprint string

// Quarantine restricts the requests of one fingerprint.
type Quarantine struct {
	Fingerprint  Fingerprint
	Organisation string
	Crashes      int
	Until        Time
	// Isolate is true for a suspected fingerprint, which may run alone on one
	// upstream at a time, and false for a convicted one, which is refused.
	Isolate bool
	// Trial is the only gate that may run a suspected fingerprint; "" for none.
	Trial GateName
}
