// Package once measures once-only requests and suspects: what a once-only
// call costs against an ordinary one, what its record costs, how it scales
// over quorums, how often an outcome stays unknown, and how many upstreams one
// bad request takes along.
//
// The logs sync real files. The quorums are three replicas in one process with
// a network that delays each message by a millisecond, as between the users'
// failure domains.
package once
