// Package rollout decides which configuration version is in force on a node and how far one has spread.
package rollout
