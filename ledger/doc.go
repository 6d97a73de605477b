// Package ledger keeps what is known of calls that may run at most once.
package ledger
