// Package hop defines the protocol by which a caller's node sends a call to the target's node and receives its outcome.
package hop
