// Command quilldoor is the router: it serves clients, checks a configuration or
// tells its version.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"quilldoor/internal/board"
	"quilldoor/internal/config"
)

const usage = `Usage: quilldoor [COMMAND] [FLAGS]

Commands:
  serve     run the router (the default)
  check     read and check the configuration, then end
  version   tell the version

Flags:
`

func main() {
	// A SIGHUP that comes before the router can reload must not end it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	err := run(os.Args[1:], hup)
	if errors.Is(err, pflag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "quilldoor:", err)
		os.Exit(1)
	}
}

func run(args []string, hup <-chan os.Signal) error {
	var over config.Overrides
	flags := pflag.NewFlagSet("quilldoor", pflag.ContinueOnError)
	flags.StringVarP(&over.File, "config", "c", "", "configuration file (LB_CONFIG)")
	flags.StringVar(&over.Name, "name", "", "name of the router (LB_NAME)")
	flags.StringVar(&over.Listen, "listen", "", "address and port for clients (LB_LISTEN)")
	level := flags.String("log-level", "info", "least level that is logged: error, warning, info or debug")
	flags.Usage = func() { fmt.Fprint(os.Stderr, usage+flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	command := "serve"
	if flags.NArg() > 0 {
		command = flags.Arg(0)
	}
	if flags.NArg() > 1 {
		return fmt.Errorf("%s: one command at most", flags.Arg(1))
	}
	lv, err := logrus.ParseLevel(*level)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	switch command {
	case "version":
		fmt.Println("quilldoor", version())
		return nil
	case "serve", "check":
	default:
		return fmt.Errorf("%s: no such command", command)
	}
	load := func() (*config.Config, *board.News, error) { return load(over) }
	c, known, err := load()
	if err != nil {
		return err
	}
	if command == "check" {
		fmt.Println("configuration of", c.Name, "is good")
		return nil
	}
	out := newOutlet(os.Stderr)
	defer out.flush(time.Second)
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(lv)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	return serve(c, known, log, term, hup, load)
}

// load reads and checks the configuration, for the start and for a reload.
func load(over config.Overrides) (*config.Config, *board.News, error) {
	c, err := config.Load(over, os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	known := &board.News{}
	if c.Known != nil {
		if known, err = board.Parse(c.Known); err != nil {
			return nil, nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, known, nil
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
