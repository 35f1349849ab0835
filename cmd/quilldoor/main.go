// Command quilldoor is the router: it serves clients, checks a configuration,
// looks into a disk tier's folder or tells its version.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"quilldoor/internal/config"
	"quilldoor/internal/discovery"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/upgrade"
)

func main() {
	// A SIGHUP that comes before the router can reload must not end it, nor a SIGTERM
	// before it can answer what it may have taken.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := command(hup, term).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quilldoor:", err)
		os.Exit(1)
	}
}

// flags are those of the commands that read the configuration.
type flags struct {
	over                    config.Overrides
	operator, level, format string
}

// command is the command line. Without a command the router runs.
func command(hup <-chan os.Signal, term chan os.Signal) *cobra.Command {
	var f flags
	run := func(*cobra.Command, []string) error { return f.serve(hup, term) }
	root := &cobra.Command{
		Use: "quilldoor", Short: "A txn router for edge caches", Args: cobra.NoArgs, RunE: run,
		SilenceUsage: true, SilenceErrors: true, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	all := root.PersistentFlags()
	all.StringVarP(&f.over.File, "config", "c", "", "configuration file (LB_CONFIG)")
	all.StringVar(&f.operator, "operator", "", "operator's own file (LB_OPERATOR; "+operatorconfig.DefaultPath+" where it is there)")
	all.StringVar(&f.over.Name, "name", "", "name of the router (LB_NAME)")
	all.StringVar(&f.over.Listen, "listen", "", "address and port for clients (LB_LISTEN)")
	all.StringVar(&f.level, "log-level", "info", "least level that is logged: error, warning, info or debug")
	all.StringVar(&f.format, "log-format", "text", "form of the log's lines: text or json")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run the router (the default)", Args: cobra.NoArgs, RunE: run},
		checkCommand(&f),
		&cobra.Command{
			Use: "version", Short: "Tell the version", Args: cobra.NoArgs,
			Run: func(*cobra.Command, []string) { fmt.Println("quilldoor", version()) },
		},
		diskCommand(), gatewayCommand(&f), membersCommand(&f), keysCommand(), keepCommand(&f), changeCommand(&f), rolloutCommand(&f))
	return root
}

func (f *flags) serve(hup <-chan os.Signal, term chan os.Signal) error {
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	out := newOutlet(os.Stderr)
	defer out.flush(time.Second)
	log, err := f.logger()
	if err != nil {
		return err
	}
	log.SetOutput(out)
	c, err := f.load()
	if err != nil {
		return err
	}
	return serve(c, log, term, hup, f.load)
}

func (f *flags) logger() (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(f.level)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	const stamp = "2006-01-02T15:04:05.000Z07:00"
	log := logrus.New()
	log.SetLevel(level)
	switch f.format {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: stamp})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: stamp})
	default:
		return nil, fmt.Errorf("--log-format: %q is neither text nor json", f.format)
	}
	return log, nil
}

// load reads and checks the configuration, for the start and for a reload.
func (f *flags) load() (*setup, error) {
	c, err := config.Load(f.over, os.Getenv)
	if err != nil {
		return nil, err
	}
	known := &discovery.Update{}
	if c.InitialUpdate != nil {
		if known, err = discovery.Parse(c.InitialUpdate); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	own, err := operatorconfig.Load(f.operator, os.Getenv)
	if err != nil {
		return nil, err
	}
	if own.Membership != nil {
		if !c.Settings.Limits.PeerMessages {
			return nil, errPeers
		}
		if _, err := transport.ReadKey(own.Membership.KeyFile); err != nil {
			return nil, err
		}
	}
	s := &setup{Config: c, known: known, operator: own}
	if own.Supervisor != nil {
		flat, err := flatten(f)
		if err != nil {
			return nil, err
		}
		s.digest = upgrade.Digest(flat)
	}
	return s, nil
}

// version is that of the module, with the commit where the build knows it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v
}
