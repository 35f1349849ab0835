package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/scenarios"
)

// scriptsCommand lists the scenarios of the library.
func scriptsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "scripts",
		Short: "List the scenarios of the library",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			defer table.Flush()
			for _, name := range scenarios.Names() {
				s, err := scenarios.Load(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(table, "%s\t%s\n", name, s.About)
			}
			return nil
		},
	}
}
