// Package node runs one node: it feeds events to the state machine and carries out its actions.
package node
