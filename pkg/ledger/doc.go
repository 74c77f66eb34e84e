// Package ledger records the requests of callers and the replies to them, and
// checks these afterwards against the executions that services recorded and the
// answers that engines must give.
package ledger
