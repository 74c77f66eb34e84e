// Package groups keeps the rows of the fault matrix about groups: each fault
// at each step of a group's life.
//
// A World plays the machine of package group with fake engines, some of which
// ignore fencing numbers, with gates that lag up to their leases, and with a
// leader whose orders may come late, twice or from a deposed one. After each
// step of virtual time it checks what engines, gates and the machine's books
// say of each host.
package groups
