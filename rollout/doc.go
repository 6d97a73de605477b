// Package rollout keeps the configuration version in force on a node and summarizes which versions are in force in the fleet.
package rollout
