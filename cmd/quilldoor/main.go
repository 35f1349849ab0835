// Command quilldoor is the router and its tools: it serves clients, runs a router under a
// supervisor, upgrades it, and shows what a running router knows. docs/architecture.md
// shows how its parts fit.
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

// execute runs the command that the arguments name; newRouter makes the router that the
// command serve runs.
func execute(newRouter routerConstructor) {
	// A SIGHUP that comes before the router can reload must not end it.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := command(newRouter, hup, term).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quilldoor:", err)
		os.Exit(1)
	}
}

// command is the command line. Without a command the router runs.
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
			Use: "version", Short: "Tell the version", Args: cobra.NoArgs,
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
		"operator's own file (LB_OPERATOR; "+operatorconfig.DefaultPath+" where it is there)")
	all.StringVar(&f.overrides.Name, "name", "", "name of the router (LB_NAME)")
	all.StringVar(&f.overrides.Listen, "listen", "", "address and port for clients (LB_LISTEN)")
	all.StringVar(&f.logLevel, "log-level", "info", "least level that is logged: error, warning, info or debug")
	all.StringVar(&f.logFormat, "log-format", "text", "form of the log's lines: text or json")
}

// serve runs a router. A SIGTERM before it ends the process at once: there is nothing to
// answer yet.
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
