package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
	"quilldoor/scenarios"
)

func scriptsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "scripts", Short: "List the rehearsals of the library", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			defer w.Flush()
			for _, name := range scenarios.Names() {
				s, err := scenarios.Load(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%s\t%s\n", name, s.About)
			}
			return nil
		},
	}
}

func emulateCommand() *cobra.Command {
	var seed uint64
	var onSockets, virtual, asJSON bool
	var recordTo, router string
	c := &cobra.Command{
		Use: "emulate SCRIPT", Short: "Play a rehearsal; exit code 2: a rule was broken", Args: cobra.ExactArgs(1),
		Long: "Plays a script of the library or a file: on a virtual clock against the router's core and module in this\n" +
			"process, or on the real one against router processes on loopback.",
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 0, "of all chance; 0: the script's")
	f.BoolVar(&virtual, "virtual", false, "on a virtual clock (the default)")
	f.BoolVar(&onSockets, "sockets", false, "on loopback, in real time, against router processes")
	f.BoolVar(&asJSON, "json", false, "print the result as JSON")
	f.StringVar(&recordTo, "record", "", "write the record, a JSON line each, to this file")
	f.StringVar(&router, "router", "", "the router's program for --sockets; else quilldoor beside this one")
	c.MarkFlagsMutuallyExclusive("virtual", "sockets")
	c.RunE = func(c *cobra.Command, args []string) error {
		s, err := scenarios.Load(args[0])
		if err != nil {
			return err
		}
		opt := emulator.Options{Seed: seed, Progress: progress(c.Context())}
		if seed == 0 {
			opt.Seed = s.Seed
		}
		done := func() error { return nil }
		if recordTo != "" {
			if opt.Record, done, err = recorder(recordTo); err != nil {
				return err
			}
		}
		var r *emulator.Result
		if onSockets {
			r, err = emulator.Sockets(c.Context(), s, opt, emulator.Routers{Program: router})
		} else {
			r, err = emulator.Virtual(c.Context(), s, opt)
		}
		if e := done(); err == nil {
			err = e
		}
		if err != nil {
			return err
		}
		if asJSON {
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", " ")
			err = enc.Encode(r)
		} else {
			printResult(os.Stdout, s, r)
		}
		switch {
		case err != nil:
		case r.Late > emulator.TooLate:
			err = fmt.Errorf("not decided: the machine was too busy, the model was %d ms late, so that breaks may be its own; play it again", r.Late/1000)
		case len(r.Breaks) > 0:
			err = errBroken
		}
		return err
	}
	return c
}

// progress tells of runs that last.
func progress(ctx context.Context) func(float64, []simulation.Second) {
	const first, every = 3 * time.Second, 2 * time.Second
	next := time.Now().Add(first)
	return func(done float64, _ []simulation.Second) {
		if now := time.Now(); now.After(next) && ctx.Err() == nil {
			next = now.Add(every)
			fmt.Fprintf(os.Stderr, "%3.0f%%\n", 100*done)
		}
	}
}

func recorder(path string) (note func(*eventlog.Entry), done func() error, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	w := bufio.NewWriterSize(f, 1<<20)
	enc := json.NewEncoder(w)
	var bad error
	note = func(e *eventlog.Entry) {
		if err := enc.Encode(e); err != nil && bad == nil {
			bad = err
		}
	}
	return note, func() error {
		if err := w.Flush(); err != nil && bad == nil {
			bad = err
		}
		if err := f.Close(); err != nil && bad == nil {
			bad = err
		}
		return bad
	}, nil
}

// printResult writes a result for people.
func printResult(to io.Writer, s *scenario.Scenario, r *emulator.Result) {
	fmt.Fprintf(to, "%s: %s\n", s.Name, s.About)
	for _, t := range r.Troubles {
		fmt.Fprintln(to, "  ", t)
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "rule\tphase\tasked\tin time\tlate\tstale\trefused\tfailed\tworth\tp50 ms\tp99 ms\t")
	for _, k := range r.Rules {
		for _, p := range simulation.Phases {
			if o := k.Phases[p]; o != nil {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t\n", k.Name, p, o.Asked, o.InTime, o.Late, o.Stale,
					o.Refused, o.Failed, o.Worth/o.WorthMost, k.Quantile(50)/1000, k.Quantile(99)/1000)
			}
		}
	}
	w.Flush()
	fmt.Fprintf(to, "worth %.4f past settling; %d tries, %d hops, %d tries unanswered; %d servers pushed over, the ledger stopped %d times\n",
		r.Worth(), r.Taken, r.Hops, r.Lost, r.Fallen, r.LedgerStops)
	fmt.Fprintf(to, "bytes into offices %.2f of those asked for, from the ledger %.2f; ends of hops %v\n",
		r.FilledKB/r.AskedKB, r.LedgerKB/r.AskedKB, r.Ends)
	if r.Crossed > 0 {
		fmt.Fprintf(to, "handed over to another site %d, completed there %d\n", r.Crossed, r.CrossedDone)
	}
	if r.Cost.CPU > 0 {
		fmt.Fprintf(to, "router processes: %.2f s of CPU, %.0f us a try; the largest %.1f MB\n", r.Cost.CPU.Seconds(),
			float64(r.Cost.CPU.Microseconds())/float64(max(r.Taken, 1)), float64(r.Cost.MostKB)/1024)
	}
	if r.Excused > 0 {
		fmt.Fprintf(to, "fell due while their router stood still: %d tries, told apart\n", r.Excused)
	}
	if m := r.Members; m != nil {
		fmt.Fprintf(to, "views of the routers: looked at %d times; agreed %d ms after the last turn of a trouble (-1: not); live routers called dead by all: %v\n",
			m.Looks, m.AgreedAfter/1000, m.DeadByAll)
	}
	timeline(to, r)
	if len(r.Breaks) == 0 {
		fmt.Fprintf(to, "the referee judged %d tries: no rule broken\n", r.Judged)
		return
	}
	fmt.Fprintf(to, "RULES BROKEN, by rule: %v\n", r.Count[1:])
	for i, b := range r.Breaks {
		if i == 10 {
			fmt.Fprintln(to, "   ...")
			break
		}
		fmt.Fprintln(to, "  ", b)
	}
}

// timeline draws each second: answers in time, late and none of up to sixty.
func timeline(to io.Writer, r *emulator.Result) {
	most := 1
	for _, s := range r.Timeline {
		most = max(most, s.InTime+s.Late+s.None)
	}
	fmt.Fprintln(to, "    s  caches  link  answers: # in time, ~ late, . none; ! a trouble is on")
	for _, s := range r.Timeline {
		bar := func(n int, c string) string { return strings.Repeat(c, (n*60+most/2)/most) }
		mark := " "
		if s.Troubles > 0 {
			mark = "!"
		}
		fmt.Fprintf(to, "%s%4d %6d  %3.0f%%  %s%s%s\n", mark, s.At, s.Servers, 100*s.LinkUse, bar(s.InTime, "#"), bar(s.Late, "~"), bar(s.None, "."))
	}
}

func explainCommand() *cobra.Command {
	var txn string
	c := &cobra.Command{Use: "explain FILE", Short: "Tell one txn's life, hop by hop, from a record", Args: cobra.ExactArgs(1)}
	c.Flags().StringVar(&txn, "txn", "", "id of the txn")
	if err := c.MarkFlagRequired("txn"); err != nil {
		panic(err) // the flag is defined above
	}
	c.RunE = func(_ *cobra.Command, args []string) error {
		f, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer f.Close()
		n := 0
		var first int64
		dec := json.NewDecoder(bufio.NewReaderSize(f, 1<<20))
		for line := 1; ; line++ {
			var e eventlog.Entry
			if err := dec.Decode(&e); err == io.EOF {
				break
			} else if err != nil {
				return fmt.Errorf("%s:%d: %w", args[0], line, err)
			}
			if e.Request != txn {
				continue
			}
			if n++; n == 1 {
				first = e.At
			}
			fmt.Printf("%12.6f s %+10.3f ms  %s\n", float64(e.At)/1e6, float64(e.At-first)/1e3, life(&e))
		}
		if n == 0 {
			return fmt.Errorf("%s has no txn %s", args[0], txn)
		}
		return nil
	}
	return c
}

// life words a line of a txn's record.
func life(e *eventlog.Entry) string {
	switch e.Kind {
	case eventlog.KindTaken:
		return fmt.Sprintf("router %d takes it: %s of %s, group %d, %d ms left", e.Router, e.Class, e.Object, e.Group, (e.Deadline-e.At)/1000)
	case eventlog.KindSent:
		text := fmt.Sprintf("hop %d goes out to %s", e.Attempt, e.Endpoint)
		if e.Source != "" && e.Source != e.Endpoint {
			text += ", filled from " + e.Source
		}
		return text
	case eventlog.KindArrived:
		return fmt.Sprintf("hop %d has come to %s", e.Attempt, e.Endpoint)
	case eventlog.KindRan:
		return fmt.Sprintf("hop %d runs at %s", e.Attempt, e.Endpoint)
	case eventlog.KindEffect:
		return fmt.Sprintf("hop %d has had its effect at %s", e.Attempt, e.Endpoint)
	case eventlog.KindEnded:
		return fmt.Sprintf("hop %d ends: %s", e.Attempt, e.Outcome)
	case eventlog.KindAnswered:
		return "answered: " + e.Outcome
	case eventlog.KindLeft:
		return "its client's time is over"
	}
	return string(e.Kind)
}
