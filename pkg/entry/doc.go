// Package entry implements the request path of an entry host. It resolves the route and the
// organisation of a request, selects an upstream, forwards method, path, headers and body
// unchanged, and relays the answer. The document in force and the set of upstreams come from the
// leading coordinator.
//
// Whether a request may be retried depends on its route. A request that must not run twice is sent
// to a second upstream only after the first one reported that it did not run it. A resumable stream
// continues on another upstream after the last whole event that the client received. An upstream that
// is silent may go on: where the route allows it another one is tried beside it, and the first to
// answer serves the request.
//
// An entry host that can reach no upstream passes requests whole to another entry host, which serves them
// like a client's and declines what it can't serve.
//
// An entry host that loses contact with the coordinators keeps serving from its last known state.
// Guarantees that depend on contact with the control plane may lapse; the others need no lease. It
// never goes back to an older document.
package entry
