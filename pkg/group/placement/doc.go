// Package placement chooses the fabric domain of a new group: groups are spread over failure
// domains, and spares are left free where there are enough hosts.
package placement
