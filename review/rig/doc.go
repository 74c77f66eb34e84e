// Package rig starts the programs of the deploy file as separate processes on loopback addresses, with
// stand-ins for the operator, the runners and the requesters. The cases of this review use it.
package rig
