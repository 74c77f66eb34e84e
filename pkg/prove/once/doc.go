// Package once tests the promises on once-only requests and on requests that crash
// upstreams. It connects the real proxies of several gates, the replicated machines
// and fake services over in-memory connections, in virtual time. Faults are injected
// at named steps of a call. Afterwards the ledger is checked against the services' own
// record of executions.
package once
