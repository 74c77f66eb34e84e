// Package proxy serves model requests on a gate: admission, routing, permits, hand-over
// to a peer gate, streaming, resume and retry. The surrounding gate daemon maintains the
// lease, the view and the upstreams' reports. The package guarantees:
//
//   - A view revision is in force here once ViewChanged has returned. After that, no
//     request is started on the basis of an older revision.
//   - Lease.Valid is checked at admission and again immediately before the first byte is
//     sent upstream.
//   - A permit is held until its attempt can no longer run on the target: the answer
//     ended, the engine confirmed the cancel, the process is gone, or the longest request
//     time has passed.
//   - A caller receives a complete answer, a refusal with its outcome, or, if the answer
//     had begun, an explicit error event without an end marker.
package proxy
