// Package dispatch is the state machine of one non-idempotent request. It claims
// the idempotency key, sends the request, reports the outcome to the caller and
// completes the claim. It does no I/O: a Machine accepts events and returns actions.
//
// The following rules hold on every path:
//
//   - A request is sent again only if there is evidence that the previous send did
//     not run. It is never hedged, and never sent after the caller's deadline or
//     after its claim is completed.
//   - A request with an idempotency key is sent only while its claim is held.
//   - An uncertain outcome is EVIDENCE_UNKNOWN. For a request with an idempotency
//     key, NOT_RUN applies to the key and not only to this submission. It is
//     reported only after the claim is held, or if the key belongs to another body.
//   - A claim in state PENDING is changed only by the request that wrote it. It does
//     not expire, because a paused holder may still send the request.
//
// A Machine is not safe for concurrent use.
package dispatch
