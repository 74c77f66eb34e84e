// Package routing chooses the target of a request. Filters decide which candidates may take the
// request, scorers rate the remaining ones in [0,1], and a picker selects one. Each plugin has its
// own file. A Router uses no clock and no random source; the caller passes a random number for
// ties and sampling.
package routing
