// Package ctl holds the commands of sesamectl. Run takes a command line and
// returns an exit code. Commands work against any keeper or gate: the caller
// follows to the leader, and resends a change under its change ID after a lost
// reply, so that it takes effect at most once.
//
// Results go to standard output as text or JSON; progress, change IDs and
// errors go to standard error.
package ctl
