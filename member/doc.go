// Package member holds what a node believes of the other nodes and their targets, without I/O.
package member
