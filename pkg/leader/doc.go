// Package leader calls the keeper that leads. It starts anywhere, follows the
// hints of keepers that do not lead, and goes on to the next keeper when one
// can't be reached or stays silent.
package leader
