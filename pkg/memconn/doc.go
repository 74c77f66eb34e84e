// Package memconn is an in-memory network for tests in virtual time. Each host has an address. The
// direction from one host to another can be cut and healed by itself. As with TCP, data written
// while a direction is cut arrives after it is healed, and neither side notices the cut before.
// The connections of a killed host are reset at once; those of a host that exits are closed.
package memconn
