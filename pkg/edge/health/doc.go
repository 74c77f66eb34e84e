// Package health is the wire format of the platform balancer's check:
// GET /healthz answers 200 while the gate wants new connections, else 503.
package health
