// Package once implements the replicated records of once-only requests: calls of plain services
// that must not be repeated. Inside the replicated log it decides which attempt of a key may run
// and how every other attempt is answered.
//
// A call consists of these steps, in this order: Intend, synced by a quorum; check of the lease;
// first byte to the service; Conclude with the answer; reply to the caller. A key is run by at
// most one attempt, unless that attempt is known not to have run.
//
// The records are limited in time, number and answer size, and no limit can lead to a second run:
//
//   - Time. A key that is a UUID of version 7 carries its own time. Its record
//     is dropped after the service's retention, and any key at or below the
//     service's floor is refused as expired. Every other key is opaque: its
//     record is reduced to a tombstone of 8 bytes that is never dropped.
//   - Number. At MaxRecords new keys are refused as not run. At MaxTombstones
//     new opaque keys are refused as not run; keys that carry a time are still
//     accepted.
//   - Answer size. An answer over MaxAnswer is not kept: a resend is told
//     that the request ran and that its answer is no longer available.
//
// The package is deterministic: replicated time is passed as an argument, and equal histories give
// equal states and byte-identical snapshots.
package once
