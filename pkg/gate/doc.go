// Package gate is the daemon on the entry hosts. It keeps the published view
// and its lease by syncing with the keepers, takes announcements of upstreams,
// delivers orders to engines, watches the hosts of the groups that it uses,
// and serves callers through the handlers of the proxy packages.
package gate
