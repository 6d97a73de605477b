// Package node runs one node as a process: it delivers events to the control state machine, executes the resulting
// actions, and serves HTTP for other nodes, operators and the targets on its VM.
package node
