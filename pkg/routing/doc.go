// Package routing chooses the target of a request: filters say which
// candidates may take it, scorers rate those in [0,1], and a picker takes one.
// Each plugin stands in a file of its own. A Router has no clock and no random
// source; the caller passes a random number for ties and sampling.
package routing
