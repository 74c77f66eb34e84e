// Package once is the replicated life of once-only requests: calls of plain
// services that must not be repeated. It decides, inside the replicated log,
// which attempt of a key may run and what every other attempt is told.
//
// The order of one call is: Intend, synced by a quorum; lease check; first
// byte; Conclude with the answer; reply. A key is run by at most one attempt,
// unless that attempt is known not to have run.
//
// The records are bounded in time, count and answer size, and no limit leads
// to a second run:
//
//   - Time. A key that is a UUID of version 7 carries its own time. Its record
//     is dropped after the service's retention, and any key at or below the
//     service's floor is refused as expired. Every other key is opaque: its
//     record shrinks to a tombstone of 8 bytes that is never dropped.
//   - Count. At MaxRecords new keys are refused as not run. At MaxTombstones
//     new opaque keys are refused as not run; keys that carry a time go on.
//   - Answer size. An answer over MaxAnswer is not kept: a resend is told
//     that the request ran and that its answer is gone.
//
// The package is pure: replicated time comes in as an argument, and equal
// histories give equal states and byte-identical snapshots.
package once
