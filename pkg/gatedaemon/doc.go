// Package gatedaemon builds a gate from its settings. It connects the core in package gate
// with the proxies for model requests and plain services, and gives them access to the
// keepers.
package gatedaemon
