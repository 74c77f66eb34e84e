// Package control defines the control-plane API between sesamemux's own processes: the method
// names, parameters and results of their JSON-RPC 2.0 interface. A keeper that does not lead
// answers methods reserved for the leader with CodeNotLeader and the leader's address.
package control
