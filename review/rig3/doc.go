// Package rig3 starts a small deployment of the project's own programs on loopback addresses, with stand-ins for
// callers, runners and the operator, for the cases of the independent review.
package rig3
