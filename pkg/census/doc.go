// Package census keeps the number of entry hosts, among which limits of the whole deployment are divided,
// over changes of the leader. It is free of I/O; times come in as arguments.
package census
