// Package eventlog writes structured log lines without ever blocking the caller, at a bounded rate for each kind of event.
package eventlog
