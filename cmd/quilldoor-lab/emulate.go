package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
	"quilldoor/scenarios"
)

// routerFlagHelp is the help text of --router for all commands that start router processes.
const routerFlagHelp = "path of the router's program; default: quilldoor in this program's folder"

// emulateOptions are the flags of emulate.
type emulateOptions struct {
	seed         uint64
	sockets      bool
	json         bool
	eventLogPath string
	routerBin    string
}

// emulateCommand plays one scenario.
func emulateCommand() *cobra.Command {
	var options emulateOptions
	var virtual bool
	command := &cobra.Command{
		Use:   "emulate SCENARIO",
		Short: "Play a scenario; exit code 2 reports a violated rule",
		Args:  cobra.ExactArgs(1),
		Long: "Plays a scenario of the library or of a file. The scenario runs on a virtual clock against the router's engine\n" +
			"and policy in this process, or in real time against router processes on loopback.",
		RunE: func(command *cobra.Command, args []string) error { return options.run(command.Context(), args[0]) },
	}
	flags := command.Flags()
	flags.Uint64Var(&options.seed, "seed", 0, "seed of all random draws; 0: the scenario's own")
	flags.BoolVar(&virtual, "virtual", false, "play on a virtual clock (the default)")
	flags.BoolVar(&options.sockets, "sockets", false, "play on loopback, in real time, against router processes")
	flags.BoolVar(&options.json, "json", false, "print the result as JSON")
	flags.StringVar(&options.eventLogPath, "record", "", "write the event log to this file, one JSON object a line")
	flags.StringVar(&options.routerBin, "router", "", "with --sockets: "+routerFlagHelp)
	command.MarkFlagsMutuallyExclusive("virtual", "sockets")
	return command
}

// run plays the scenario and prints its result. It returns an error if the run was inconclusive, and
// errViolation if a rule was violated.
func (o *emulateOptions) run(ctx context.Context, name string) error {
	s, err := scenarios.Load(name)
	if err != nil {
		return err
	}
	result, err := o.play(ctx, s)
	if err != nil {
		return err
	}
	if err := o.print(s, result); err != nil {
		return err
	}
	switch {
	case result.MaxDelay > emulator.MaxDelayMicros:
		return fmt.Errorf("inconclusive: the machine was too busy and the emulator ran %d ms late, which may "+
			"itself have caused violations; run the command again", result.MaxDelay/microsPerMilli)
	case len(result.Violations) > 0:
		return errViolation
	}
	return nil
}

// play runs the scenario, and writes its event log if --record names a file.
func (o *emulateOptions) play(ctx context.Context, s *scenario.Scenario) (result *emulator.Result, err error) {
	options := emulator.Options{Seed: o.seed, Progress: showProgress(ctx)}
	if options.Seed == 0 {
		options.Seed = s.Seed
	}
	if o.eventLogPath != "" {
		log, err := createEventLog(o.eventLogPath)
		if err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, log.close()) }()
		options.Record = log.write
	}
	if o.sockets {
		return emulator.RunOnSockets(ctx, s, options, emulator.SocketOptions{Program: o.routerBin})
	}
	return emulator.RunVirtual(ctx, s, options)
}

// print writes the result as text or JSON to standard output.
func (o *emulateOptions) print(s *scenario.Scenario, result *emulator.Result) error {
	if !o.json {
		printResult(os.Stdout, s, result)
		return nil
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	return encoder.Encode(result)
}

// showProgress returns a callback that prints the progress of a run to standard error: first after
// firstAfter, then once per interval. Short runs print nothing.
func showProgress(ctx context.Context) func(float64, []simulation.Second) {
	const firstAfter, interval = 3 * time.Second, 2 * time.Second
	next := time.Now().Add(firstAfter)
	return func(done float64, _ []simulation.Second) {
		if now := time.Now(); now.After(next) && ctx.Err() == nil {
			next = now.Add(interval)
			fmt.Fprintf(os.Stderr, "%3.0f%%\n", 100*done)
		}
	}
}

// eventLogFile writes an event log to a file, one JSON object a line.
type eventLogFile struct {
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error // the first error of all writes
}

func createEventLog(path string) (*eventLogFile, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriterSize(file, logBufferBytes)
	return &eventLogFile{file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

func (l *eventLogFile) write(entry *eventlog.Entry) { l.keepError(l.encoder.Encode(entry)) }

// close flushes and closes the file and returns the first error of all writes.
func (l *eventLogFile) close() error {
	l.keepError(l.buffer.Flush())
	l.keepError(l.file.Close())
	return l.err
}

func (l *eventLogFile) keepError(err error) {
	if l.err == nil {
		l.err = err
	}
}
