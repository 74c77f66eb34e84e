// Package settings reads the settings of each program from INI, the
// environment and flags, and checks them whole: every error is told at once
// with its file, line, key and what is allowed. Unknown keys are refused.
//
// A file has one section named after the program, such as [gate]. A value from
// the environment goes before the file, as SESAME_GATE_RPC_LISTEN for the key
// rpc_listen; a --set key=value flag goes before both.
package settings
