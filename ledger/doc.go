// Package ledger tracks calls that may run at most once: the attempts at a node's targets, and the idempotency keys
// that callers send.
package ledger
