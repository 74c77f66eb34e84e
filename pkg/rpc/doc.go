// Package rpc implements JSON-RPC 2.0 between sesamemux's processes over TCP or TLS. A client keeps
// one connection, pings it, and replaces it when it does not answer. A call that failed before its
// request was written returns ErrNotSent. A server with an Authorizer consults it before every
// handler.
package rpc
