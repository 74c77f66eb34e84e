// Package prove defines the fault matrix: rows of (promise, fault, step). Each row
// is a scenario that can be replayed from its seed. The packages below this one
// hold the rows of their areas.
package prove
