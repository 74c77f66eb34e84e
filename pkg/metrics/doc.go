// Package metrics exports the state of gates, keepers and the deployment as Prometheus
// metrics. Only the leading keeper exports metrics of the whole deployment, so that a sum
// over all keepers counts each value once.
package metrics
