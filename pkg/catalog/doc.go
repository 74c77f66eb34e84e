// Package catalog holds the configured objects that decide how an entry host
// handles a request: routes, services with their engines, organisations and
// limits. A Set is validated as a whole and immutable afterwards; an Index
// provides the lookups of the request path.
//
// The operator assigns the versions. Of two sets the one with the higher version
// is in force.
package catalog
