// Package leader calls the keeper that leads. It starts with any keeper, follows
// the leader hints of the others, and moves on to the next keeper when one cannot
// be reached or does not answer.
package leader
