// Package plaincall carries calls to plain services over HTTP/1.1 and says
// honestly how each failure left the request.
//
// Once sends a request that must not be repeated: on a connection of its own,
// written by this package and read to the end of its answer. Nothing below it
// resends, follows a redirect or reuses a connection. Do sends any other call
// through pooled connections.
//
// A failure is outcome.NotRun only when no byte was handed to the connection.
// Everything later is outcome.Unknown, and so is an answer by which a service
// or something in front of it says that it is in trouble.
package plaincall
