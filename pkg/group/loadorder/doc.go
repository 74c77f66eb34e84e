// Package loadorder says which group's members fetch weights first from a
// store whose rate is limited.
package loadorder
