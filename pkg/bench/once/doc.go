// Package once measures once-only calls and the quarantine of suspect requests: the cost of a
// once-only call compared with an ordinary one, the cost of its record, the throughput over several
// quorums, how often an outcome stays unknown, and how many upstreams one bad request crashes.
//
// The logs sync real files. Each quorum has three replicas in one process, with a network that delays
// each message by a millisecond, as between the users' failure domains.
package once
