// Package gate is the admission queue in front of the target on a node's VM: all calls to the target pass through it. It admits or
// refuses them, queues them by rank and deadline, and sends them to the target.
package gate
