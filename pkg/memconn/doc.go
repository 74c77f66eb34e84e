// Package memconn is a network in memory for tests in virtual time. Each host
// has an address; the way from one host to another can be cut and healed, one
// direction at a time. What is written over a cut way waits and arrives after
// it heals, as with TCP; until then neither side learns of the cut. A killed
// host's connections are reset at once.
package memconn
