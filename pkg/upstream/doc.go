// Package upstream sends HTTP/1.1 requests to upstreams and peer gates over its own
// connection pool. It guarantees:
//
//   - A request is written at most once, on one connection. The package neither
//     resends requests nor follows redirects; the caller decides on retries.
//   - Errors distinguish whether the request was sent: with ErrNotSent, no byte of it
//     left the process.
//   - A connection belongs to one incarnation of the upstream. A new connection, and
//     one that was idle for a while, is probed first, so that a process never receives
//     a request meant for its predecessor at the same address.
//   - BeforeSend runs immediately before the first byte is written, under the read lock
//     of SendLock. A revocation made under the write lock therefore happens entirely
//     before or entirely after the check and the first write.
//   - A connection that makes no progress for StallTimeout fails with ErrStalled, which
//     implies a fault of the connection, not of the upstream.
package upstream
