// Package member implements a node's membership view, the other nodes and their targets, without I/O.
//
// A removed member leaves a tombstone with the last record known of it. The tombstone rejects this record and older ones, whoever
// sends them, for ten minutes; a record with a higher incarnation or sequence overrules it. A living node whose entry the store
// has lost therefore writes its record with the next sequence.
package member
