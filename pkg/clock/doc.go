// Package clock provides monotonic clocks. Leases are measured with the time since boot, which
// continues while the host is suspended: a gate that resumes sees at once that its lease has lapsed.
package clock
