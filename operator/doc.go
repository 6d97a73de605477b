// Package operator asks nodes about the fleet on behalf of the operators' commands.
package operator
