// Package access implements authentication and authorisation: mutual TLS between
// processes, roles from certificates, the methods that each role may call, and the API
// keys of organisations.
//
// A certificate identifies its holder by one URI, sesame://CLUSTER/ROLE/NAME. Files are
// reloaded when they change; while changed files are invalid, a process keeps using
// the last valid ones.
package access
