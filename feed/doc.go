// Package feed distributes configurations and membership changes from a node to its children over WebSocket, encoded as CBOR.
package feed
