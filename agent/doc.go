// Package agent runs a node on a platform: its sockets, timers and signals around the decisions of other packages.
package agent
