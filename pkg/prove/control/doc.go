// Package control tests the control plane: real keepers and gates over in-memory
// connections, in virtual time, with fake engines. Keepers are killed, cut off in
// one or both directions and lose their leader while operators change objects, race
// each other and lose replies.
package control
