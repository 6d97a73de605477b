// Package fleet stores the records of all nodes and derives tree topology, leaders and digests from them.
package fleet
