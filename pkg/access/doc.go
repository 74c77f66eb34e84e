// Package access decides who may do what: mutual TLS between processes, roles
// by certificate, the methods that each role may call, and the API keys of
// organisations.
//
// A certificate names its holder by one URI, sesame://CLUSTER/ROLE/NAME. Files
// are read again when they change; a process keeps the last good ones while
// the files are in error.
package access
