// Package ratelimit keeps the limits that upstreams name: the requests a second that one takes from
// all entry hosts together. A Statement is what an upstream said last, a Bucket spends the part of the
// limit that one process has, and Apportion divides a limit among processes. All are free of I/O;
// times come in as arguments.
package ratelimit
