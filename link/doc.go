// Package link transports control messages between nodes as CBOR over WebSocket.
package link
