// Package clock reads the time since boot, which goes on while the host is
// suspended. Leases are measured with it: a gate that wakes up sees at once
// that its lease has lapsed.
package clock
