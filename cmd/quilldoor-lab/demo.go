package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
	"quilldoor/scenarios"
)

// demoOptions are the flags of demo.
type demoOptions struct {
	listen     string
	scenario   string
	routerBin  string
	showRouter bool
}

// demoCommand starts an emulated fleet that serves requests sent by hand.
func demoCommand() *cobra.Command {
	var options demoOptions
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a router in front of a small emulated fleet until interrupted",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return options.run(command.Context()) },
	}
	flags := command.Flags()
	flags.StringVar(&options.listen, "listen", "127.0.0.1:8080", "address on which the router serves clients")
	flags.StringVar(&options.scenario, "script", "demo", "scenario to play")
	flags.StringVar(&options.routerBin, "router", "", routerFlagHelp)
	flags.BoolVar(&options.showRouter, "logs", false, "write the router's log to standard error")
	return command
}

// run plays the scenario and prints its result if it ends before an interrupt.
func (o *demoOptions) run(ctx context.Context) error {
	s, err := scenarios.Load(o.scenario)
	if err != nil {
		return err
	}
	socketOptions := emulator.SocketOptions{
		Program:               o.routerBin,
		Listen:                o.listen,
		AcceptForeignRequests: true,
		Ready:                 func(addresses []string) { printWelcome(os.Stdout, s, addresses) },
	}
	if o.showRouter {
		socketOptions.Log = os.Stderr
	}
	result, err := emulator.RunOnSockets(ctx, s, emulator.Options{Seed: s.Seed, Progress: printSeconds()}, socketOptions)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	printResult(os.Stdout, s, result)
	return nil
}

// printSeconds returns a progress callback that prints each second of the timeline once.
func printSeconds() func(float64, []simulation.Second) {
	shown := 0
	return func(_ float64, seconds []simulation.Second) {
		for ; shown < len(seconds); shown++ {
			second := seconds[shown]
			fmt.Printf("%4d s: %4d requests, %4d in time, %3d late, %3d without a response; "+
				"%2d caches up, links %3.0f%% full, %3d attempts open\n",
				second.At, second.Requests, second.InTime, second.Late, second.NotCompleted,
				second.Servers, 100*second.LinkUtilization, second.Attempts)
		}
	}
}

// printWelcome writes the demo's address and a curl command that sends it a request.
func printWelcome(to io.Writer, s *scenario.Scenario, addresses []string) {
	const object = "o1" // a page: videos have even numbers
	_, group, _, _ := simulation.New(s, s.Seed, nil).Object(object, 0)
	fmt.Fprintf(to, "A router serves at %s, before %d caches, their parents and an origin, all emulated. "+
		"Send it a request:\n\n"+
		"  curl -si -H 'X-Txn: 00000000000000aa' -H 'X-Ttl-Ms: 2500' -H 'X-Shard: %d' "+
		"http://%s/rpc/quote-page/%s | head -c 300\n\n"+
		"Interrupt to end.\n", addresses[0], s.Fleet.Offices*s.Fleet.Caches, group, addresses[0], object)
}
