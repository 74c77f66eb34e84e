// Package rpc carries JSON-RPC 2.0 between sesamemux's processes over TCP or
// TLS. A client keeps one connection, pings it, and replaces it when it goes
// silent; a call that failed before its request was written says so. A server
// with an Authorizer asks it before every handler.
package rpc
