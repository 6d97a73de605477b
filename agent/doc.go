// Package agent runs one node on a platform: it connects the listeners, timers and shutdown of the process to the logic of the
// other packages.
package agent
