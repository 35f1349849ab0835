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

func demoCommand() *cobra.Command {
	var listen, name, router string
	var logs bool
	c := &cobra.Command{Use: "demo", Short: "Start a small emulated fleet with a router before it, until interrupted", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8080", "address of the router")
	f.StringVar(&name, "script", "demo", "rehearsal that is played")
	f.StringVar(&router, "router", "", "the router's program; else quilldoor beside this one")
	f.BoolVar(&logs, "logs", false, "show the router's log")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := scenarios.Load(name)
		if err != nil {
			return err
		}
		conf := emulator.Routers{Program: router, Listen: listen, Guests: true, Ready: func(addrs []string) { welcome(os.Stdout, s, addrs) }}
		if logs {
			conf.Log = os.Stderr
		}
		shown := 0
		r, err := emulator.Sockets(c.Context(), s, emulator.Options{Seed: s.Seed, Progress: func(_ float64, seconds []simulation.Second) {
			for ; shown < len(seconds); shown++ {
				x := seconds[shown]
				fmt.Printf("%4d s: %4d asked, %4d in time, %3d late, %3d without; %2d caches up, links %3.0f%% full, %3d hops out\n",
					x.At, x.Asked, x.InTime, x.Late, x.None, x.Servers, 100*x.LinkUse, x.Hops)
			}
		}}, conf)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		if err == nil {
			printResult(os.Stdout, s, r)
		}
		return err
	}
	return c
}

// welcome tells what can be done with the demo.
func welcome(to io.Writer, s *scenario.Scenario, addrs []string) {
	w := simulation.New(s, s.Seed, nil)
	const object = "o1" // a page: even numbers are videos
	_, group, _, _ := w.Object(object, 0)
	fmt.Fprintf(to, "a router serves at %s, before %d caches, their parents and a ledger, all emulated. Ask it yourself:\n\n"+
		"  curl -si -H 'X-Txn: 00000000000000aa' -H 'X-Ttl-Ms: 2500' -H 'X-Shard: %d' http://%s/rpc/quote-page/%s | head -c 300\n\n"+
		"Interrupt to end.\n", addrs[0], s.Fleet.Offices*s.Fleet.Caches, group, addrs[0], object)
}
