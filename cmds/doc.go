// Package cmds holds the commands of the cassialead program.
package cmds
