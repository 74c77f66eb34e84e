// Package program contains the common part of the daemons' main functions: command-line
// flags, validated settings, and shutdown on SIGINT or SIGTERM.
package program
