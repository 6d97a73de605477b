// Package feed carries news of configurations and members from a node to its children, over WebSocket and CBOR.
package feed
