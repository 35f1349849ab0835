// Command standin2 plays the cases of review/REPORT-2.md: it starts the project's routers by the
// command of the deploy file and stands in for their clients, servers and platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase ends a case that has not ended by itself.
const longestCase = 110 * time.Second

// stage is what a case runs with.
type stage struct {
	root    string // of the project
	folder  string // temporary, for the processes of the case
	trouble bool   // the disruption takes place
	rec     *record
}

// cases are the cases by name. Each returns how many times its rule was broken.
var cases = map[string]func(*stage) (broken int, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: standin2 CASE FOLDER, with CASE one of %s\n", strings.Join(names, ", "))
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*stage) (int, error), caseFolder string) int {
	rec, err := newRecord(caseFolder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	root, err := filepath.Abs(filepath.Join(caseFolder, "..", ".."))
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	go endEarly(rec, folder)
	s := &stage{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	broken, err := run(s)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken > 0:
		rec.say("the rule was broken %d times", broken)
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// binaries reports an error if the deploy file's build has not been run.
func (s *stage) binaries() error {
	if _, err := os.Stat(filepath.Join(s.root, "bin", "quilldoor")); err != nil {
		return errors.New("bin/quilldoor is missing: run the build of the deploy file")
	}
	return nil
}

// endEarly ends the case's processes and the case on a signal, or when it takes too long.
func endEarly(rec *record, folder string) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(longestCase):
	}
	killAll()
	rec.say("not run to its end")
	rec.close()
	os.RemoveAll(folder)
	os.Exit(exitNotRun)
}
