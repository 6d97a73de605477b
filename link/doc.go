// Package link carries control messages between nodes as CBOR over WebSocket.
package link
