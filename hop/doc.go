// Package hop defines what the node of a caller and the node beside a target say to each other about one call.
package hop
