// Package fleet holds the records of all nodes and derives order, tree shape and digests from them.
package fleet
