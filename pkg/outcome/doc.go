// Package outcome defines the terms in which every refusal and error states, along the whole path,
// whether the request ran. A refusal never guesses: it says NotRun only if it is known that no
// upstream saw the request, and Unknown wherever that can't be shown.
package outcome
