// Package member implements a node's membership view, the other nodes and their targets, without I/O.
package member
