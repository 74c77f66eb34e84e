// Package proxy is a gate's path of model requests: admission, choice of a
// target, permits, hand-over to a peer gate, streaming, resume and retry. The
// gate daemon around it keeps lease, view and reports. Its contract:
//
//   - A view revision is in force here once ViewChanged has returned: no first
//     byte of a request is written after that on the strength of an older one.
//   - Lease.Valid is asked at admission and again right before the first byte
//     goes upstream.
//   - A permit is held until nothing of its attempt can run on the target: the
//     answer ended, the engine confirmed the cancel, the process is gone, or
//     the longest request time has passed.
//   - A caller gets a whole answer, a refusal with its outcome, or, when an
//     answer had begun, an explicit error event without end marker.
package proxy
