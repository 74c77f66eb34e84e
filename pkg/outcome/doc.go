// Package outcome is the vocabulary that every refusal and error carries over
// the whole path: whether the request ran. A refusal never guesses: NotRun is
// said only where it is known that no upstream saw the request, and Unknown
// wherever that can't be shown.
package outcome
