// Command quilldoor is the request router and its tools: it serves clients, supervises and
// upgrades a router, and shows the state of a running one. docs/architecture.md describes how
// its packages work together.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"quilldoor/internal/operatorconfig"
)

func main() { execute(newRouter) }

// execute runs the command that the arguments name. The command 'serve' constructs its router
// with newRouter.
func execute(newRouter routerConstructor) {
	// A SIGHUP received before the router can reload must not end the process.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := command(newRouter, hup, term).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quilldoor:", err)
		os.Exit(1)
	}
}

// command returns the root command, which runs the router if no subcommand is named.
func command(newRouter routerConstructor, hup <-chan os.Signal, term chan os.Signal) *cobra.Command {
	var f flags
	run := func(*cobra.Command, []string) error { return f.serve(newRouter, hup, term) }
	root := &cobra.Command{
		Use:               "quilldoor",
		Short:             "A request router for edge caches",
		Args:              cobra.NoArgs,
		RunE:              run,
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	f.define(root.PersistentFlags())
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run the router (the default)", Args: cobra.NoArgs, RunE: run},
		checkCommand(&f),
		&cobra.Command{
			Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(*cobra.Command, []string) { fmt.Println("quilldoor", version()) },
		},
		diskCommand(),
		gatewayCommand(&f),
		membersCommand(&f),
		keysCommand(),
		keepCommand(&f),
		changeCommand(&f),
		rolloutCommand(&f),
	)
	return root
}

func (f *flags) define(all *pflag.FlagSet) {
	all.StringVarP(&f.overrides.File, "config", "c", "", "configuration file (LB_CONFIG)")
	all.StringVar(&f.operatorFile, "operator", "",
		"operator's own file (LB_OPERATOR; default: "+operatorconfig.DefaultPath+", if it exists)")
	all.StringVar(&f.overrides.Name, "name", "", "name of the router (LB_NAME)")
	all.StringVar(&f.overrides.Listen, "listen", "", "address and port for clients (LB_LISTEN)")
	all.StringVar(&f.logLevel, "log-level", "info", "lowest level that is logged: error, warning, info or debug")
	all.StringVar(&f.logFormat, "log-format", "text", "format of the log: text or json")
}

// serve runs a router. A SIGTERM received before serve handles signals ends the process at
// once, while no request is open.
func (f *flags) serve(newRouter routerConstructor, hup <-chan os.Signal, term chan os.Signal) error {
	const logFlushTimeout = time.Second
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	out := newAsyncWriter(os.Stderr)
	defer out.flush(logFlushTimeout)
	log, err := f.logger()
	if err != nil {
		return err
	}
	log.SetOutput(out)
	c, err := f.load()
	if err != nil {
		return err
	}
	r, err := newRouter(c, log, f.load)
	if err != nil {
		return err
	}
	return r.serve(term, hup)
}
