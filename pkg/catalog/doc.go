// Package catalog holds the named objects that decide how an entry host treats
// a request: routes, services with their engines, organisations and limits. A
// Set is checked as one unit and never changed afterwards; an Index answers
// the questions of the request path.
//
// Versions are given by the operator. Of two sets the one with the higher
// version is in force.
package catalog
