// Command quilldoor-lab runs experiments on the router's decisions. It plays fault scenarios on
// an emulated fleet, either on a virtual clock or against router processes, and compares
// variants of the router's policies. The router's program contains none of this code.
//
// Exit codes: 0: success; 1: an error; 2: a rule of the checker was violated.
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

const (
	exitError     = 1
	exitViolation = 2
)

// errViolation makes the command end with exitViolation.
var errViolation = errors.New("a rule was violated")

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := rootCommand().ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quilldoor-lab:", err)
	}
	switch {
	case errors.Is(err, errViolation):
		return exitViolation
	case err != nil:
		return exitError
	}
	return 0
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:               "quilldoor-lab",
		Short:             "Run experiments on the router's decisions",
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(
		emulateCommand(),
		scriptsCommand(),
		explainCommand(),
		demoCommand(),
		membersTrialCommand(),
		membersProcessesCommand(),
		pairsCommand(),
		changesCommand(),
		rolloutsCommand(),
		rolloutCostCommand(),
		huntCommand(),
		rolloutReportCommand(),
		diskTrialCommand(),
	)
	return root
}
