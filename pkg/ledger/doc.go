// Package ledger keeps what callers asked for and were told, and checks it
// afterwards against what services executed and engines should have said.
package ledger
