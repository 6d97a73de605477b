// Package listener serves HTTP within the limits of package door: it bounds the connections of a process and the memory of what
// their clients send and don't read. Its state is in the process's memory.
package listener
