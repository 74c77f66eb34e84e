// Package settings reads the settings of each program from INI, the environment and
// flags, and validates them as a whole: all errors are reported together, each with
// its file, line, key and allowed values. Unknown keys are rejected.
//
// A file has one section named after the program, such as [gate]. An environment
// variable, such as SESAME_GATE_RPC_LISTEN for the key rpc_listen, overrides the
// file; a --set key=value flag overrides both.
package settings
