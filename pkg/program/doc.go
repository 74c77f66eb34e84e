// Package program holds what the daemons' main functions share: flags, checked
// settings, and an end on SIGINT or SIGTERM.
package program
