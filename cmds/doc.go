// Package cmds implements the commands of the cassialead program.
package cmds
