// Package gate implements the daemon on the entry hosts. It maintains the published view and
// its lease by syncing with the keepers, accepts announcements of upstreams, delivers orders
// to engines, polls the hosts of serving groups for reports, and serves callers through the
// handlers of the proxy packages.
package gate
