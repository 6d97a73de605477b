// Command cassialead distributes a service mesh's configuration and routes its calls.
package main

import (
	"os"

	"github.com/cassialead/cassialead/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr)) }
