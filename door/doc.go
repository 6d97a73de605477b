// Package door decides what clients may make a node hold: memory for heads, bodies and unread answers, and connections. It decides
// who is closed first when a limit is reached: whoever has made no progress for the longest time, then whoever is slowest. It is
// meant for clients that send or read slowly, stop half-way or open many connections, and costs an ordinary request a few atomic
// operations and short locks. Its state lives in memory and ends with the connections; it does no I/O.
package door
