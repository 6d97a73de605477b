// Package balance decides which target of a service a call is sent to, from load figures that are up to some seconds old and are
// known to many nodes that decide at the same moment. It answers services at 0.8 to 1.0 of their capacity whose targets differ in
// speed and whose nodes send each target about one call a second. Its state is one Target per node and target, in the memory of the
// node; it has no I/O, and takes the time as an argument.
package balance
