// Package health implements the health check of the platform's load balancer:
// GET /healthz answers 200 while the gate accepts new connections, and 503 otherwise.
package health
