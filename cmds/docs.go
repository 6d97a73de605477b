package cmds

import (
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// docsCommand generates the pages in docs/commands.
func docsCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "docs DIRECTORY",
		Short:  "Write a page for each command",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			root := cmd.Root()
			// The default of --author is the name of the current user, which must not appear in the pages.
			for _, c := range root.Commands() {
				if f := c.Flags().Lookup("author"); f != nil {
					f.DefValue = ""
				}
			}
			return doc.GenMarkdownTree(root, args[0])
		},
	}
}
