// Package eventlog writes structured log lines without blocking the caller and with a rate limit per event, and reads the
// lines about one request from such logs.
package eventlog
