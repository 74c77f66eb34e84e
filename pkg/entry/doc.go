// Package entry is the request path of an entry host: it finds the route and
// the organisation of a request, chooses an upstream, passes method, path,
// headers and body through unchanged, and relays the answer. It follows the
// leading coordinator for what is in force and which upstreams there are.
//
// What may be repeated follows from the route. A request that may not run
// twice goes to a second upstream only after the first said that it did not
// run it; a stream that may be resumed goes on elsewhere behind the last whole
// event that the client got.
//
// An entry host that has lost the coordinators goes on with what it last
// heard: the promises that hold only in touch with the control plane may
// lapse, the others need no lease. It never goes back to an older document.
package entry
