// Command standin plays the cases of the review: it starts a router with the command of the deploy file, stands in
// for its clients, its servers and the platform, and judges one rule by what they see. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// run is what all cases have in common.
type run struct {
	*record
	trouble bool // false: the same without the disruption
	dir     string
}

var cases = map[string]func(*run) (broken int, err error){
	"keyed":      playKeyed,
	"slowboard":  playSlowBoard,
	"badclients": playBadClients,
}

func main() {
	path := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	if flag.Arg(0) == "send-bad" {
		sendBad()
		return
	}
	os.Exit(play(flag.Arg(0), *path))
}

func play(name, path string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	r.add("case %s, with the disruption: %v", name, r.trouble)
	broken, err := play(r)
	switch {
	case err != nil:
		r.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken > 0:
		r.add("verdict: the rule was broken %d times", broken)
		fmt.Printf("the rule was broken %d times\n", broken)
		return exitBroken
	}
	r.add("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
