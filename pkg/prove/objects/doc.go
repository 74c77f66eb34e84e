// Package objects proves promise 10 as far as the object set and its state
// machine carry it: a set in error publishes nothing, of two changes from one
// base one wins, a resent change takes effect once, and revisions only rise.
package objects
