// Package gateway takes calls over HTTP, brings each to a target and returns the whole answer or an honest refusal.
package gateway
