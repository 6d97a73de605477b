// Package gateway proxies HTTP calls to targets. Each call gets the target's complete response, or a refusal that states
// whether the call was executed.
package gateway
