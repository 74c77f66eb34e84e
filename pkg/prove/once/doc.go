// Package once proves the promises on once-only requests and on requests that
// crash upstreams. Its world joins the real proxies of several gates, the
// replicated machines and stand-in services over connections in memory, in
// virtual time. Faults strike at named steps of a call. Afterwards the ledger
// is checked against the services' own record.
package once
