// Package gate is the only way in to the target beside a node: it admits calls, orders those that wait, and brings them
// to the target.
package gate
