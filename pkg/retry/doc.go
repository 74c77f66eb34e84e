// Package retry decides whether a failed attempt is retried. Retries are limited to a share of the
// live requests, so that they can't amplify an overload. A request is retried only if it is known
// that nothing ran or repeating it has no side effects, never past its deadline, and never after
// two upstreams crashed.
package retry
