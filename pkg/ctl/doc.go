// Package ctl implements the commands of sesamectl. Run executes a command line and
// returns an exit code. Commands can contact any keeper or gate: the client follows
// redirects to the leader, and resends a change with its change ID after a lost reply,
// so that the change takes effect at most once.
//
// Results go to standard output as text or JSON; progress, change IDs and
// errors go to standard error.
package ctl
