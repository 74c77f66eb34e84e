// Package prove runs the fault matrix: rows of (promise, fault, step), each a
// scenario that is replayed from its seed. Areas keep their rows in packages
// below this one.
package prove
