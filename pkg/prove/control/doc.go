// Package control proves the control plane: real keepers and gates over
// connections in memory, in virtual time, with stand-ins of engines. Keepers
// are killed, cut off in one or both directions and lose their leader while
// operators change objects, race each other and lose replies.
package control
