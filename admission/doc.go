// Package admission decides which call gets a slot of a target, which waits, and which is refused.
package admission
