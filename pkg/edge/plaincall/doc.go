// Package plaincall sends calls to plain services over HTTP/1.1 and reports for each
// failure whether the request may have run.
//
// DoOnce sends a request that must not be repeated. It opens a new connection, writes
// the request itself and reads the response to its end, so that no lower layer
// resends the request, follows a redirect or reuses a connection. Do sends any other
// call through pooled connections.
//
// A failure is outcome.NotRun only if no byte was written to the connection. Every
// later failure is outcome.Unknown, as is a response with which a service or an
// intermediary reports an error or overload.
package plaincall
