// Package control holds the messages between sesamemux's own processes: the
// method names and typed parameters and results of their JSON-RPC 2.0
// interface. A keeper that can't serve a method answers with CodeNotLeader
// and says where the leader is.
package control
