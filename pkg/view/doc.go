// Package view holds what the keepers publish to gates: one monotonic state
// of the system, as tables of typed entries that carry the revision of their
// last change. A gate installs a View whole or as a Delta on top of the
// revision it has in force, never to a lower revision.
package view
