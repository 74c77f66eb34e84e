// Package groups holds the rows of the fault matrix about groups: each fault
// at each step of a group's life.
//
// A World runs the machine of package group with fake engines, some of which
// ignore fencing numbers, with gates that lag by up to their leases, and with a
// leader whose orders may be late, duplicated or sent by a deposed leader. After
// each step of virtual time it checks that engines, gates and the machine's state
// agree on the role of each host.
package groups
