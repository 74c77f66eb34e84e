// Package loadorder decides which group's members load weights first from a store with a limited
// rate.
package loadorder
