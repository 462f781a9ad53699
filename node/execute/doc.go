// Package execute runs non-idempotent requests at the entry node. It performs the
// actions of policy/dispatch, joins duplicates that reach the same node, and completes
// claims in the background after the caller has been answered.
//
// Lock order: Executor.mu, then run.mu. Neither is held during I/O.
package execute
