// Package coordinator runs one replica of a deployment's durable state. The leading coordinator
// also maintains the state of the upstreams: it receives their announcements, forms groups of
// hosts, and distributes the result to all entry hosts.
//
// A coordinator finds the others at its configured seed addresses and at addresses that it learns
// later. The coordinators of the first start form the initial quorum. Each later one joins through
// the leader as a learner and becomes a voter once it holds the log. The leader replaces silent
// voters by learners.
//
// State that must survive (the document in force, evacuations, departures) is committed to the
// replicated log before it is acknowledged. Announcements of upstreams are kept in memory and
// mirrored by the followers.
package coordinator
