// Package coordinator runs one replica of a deployment's durable state and,
// while it leads, what the deployment believes of its upstreams: it takes their
// announcements, forms groups of hosts, and tells every entry host.
//
// A coordinator finds the others by asking the addresses that it was started
// with and those that it learned. The first coordinators make up the first
// quorum; each later one asks the leader for a place and votes once it holds
// the log. The leader replaces voters that went silent by those that wait.
//
// What must survive (the document in force, evacuations, departures) goes
// through the replicated log before it is acknowledged. What upstreams say of
// themselves is kept in memory, mirrored by the followers.
package coordinator
