// Package reach decides from rounds of connection attempts whether a host has lost its links to all
// upstreams. It is pure: attempts are made, and times are measured, by the caller.
//
// A single upstream that can't be reached may have ended, so a round tries several. Answers on new
// connections are what counts: those that are open may live on while new ones fail, and hosts on the way
// may accept connections that lead nowhere.
package reach
