// Command quilldoor-lab is for experiments with the router's decisions: it
// rehearses incidents on an emulated fleet. Nothing of it is in the router.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// errBroken ends the command with exit code 2.
var errBroken = errors.New("a rule was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use: "quilldoor-lab", Short: "Experiments with the router's decisions", SilenceUsage: true,
		SilenceErrors: true, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(emulateCommand(), scriptsCommand(), explainCommand(), demoCommand(), membersCommand(), processesCommand(), pairsCommand(), changesCommand(), rolloutsCommand(), rolloutCostCommand(), huntCommand(), reportCommand(), diskTrial())
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quilldoor-lab:", err)
	}
	switch {
	case errors.Is(err, errBroken):
		os.Exit(2)
	case err != nil:
		os.Exit(1)
	}
}
