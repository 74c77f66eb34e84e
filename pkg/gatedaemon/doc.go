// Package gatedaemon builds a gate from its settings: it joins the gate's core
// with the proxies for model requests and plain services, and gives them what
// they need of the keepers.
package gatedaemon
