package cmds

import "github.com/spf13/cobra"

func (a *app) demoCommand() *cobra.Command { return &cobra.Command{Use: "demo"} }
