package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/handoff"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/supervisor"
	"quilldoor/internal/upgrade"
	"quilldoor/internal/upgradeagent"
)

// Errors of 'change apply' and 'change back'. The reason has been printed before.
var (
	errRejected = errors.New("refused")
	errFellBack = errors.New("fell back")
)

// errImmutable says that a setting which differs can't change on a running router.
var errImmutable = errors.New("some of it can't change on this router")

// supervisorClient talks to the supervisor of a folder.
type supervisorClient struct {
	flags  *flags
	folder string // "": that of the operator's file
}

func (c *supervisorClient) define(command *cobra.Command) {
	command.PersistentFlags().StringVar(&c.folder, "folder", "", "the supervisor's folder; else keep.folder of the operator's file")
}

// find gives the supervisor's folder.
func (c *supervisorClient) find() (string, error) {
	if c.folder != "" {
		return c.folder, nil
	}
	operator, err := operatorconfig.Load(c.flags.operatorFile, os.Getenv)
	if err != nil {
		return "", err
	}
	if operator.Supervisor == nil {
		return "", errNoSupervisor
	}
	return operator.Supervisor.Dir, nil
}

// request sends a message, and calls progress with each note before the last answer.
func (c *supervisorClient) request(message *handoff.Message, progress func(note string)) (*handoff.Message, error) {
	folder, err := c.find()
	if err != nil {
		return nil, err
	}
	return handoff.Request(filepath.Join(folder, upgradeagent.SocketName), message, progress)
}

// changeCommand upgrades a supervised router.
func changeCommand(f *flags) *cobra.Command {
	client := &supervisorClient{flags: f}
	c := &cobra.Command{Use: "change", Short: "Put another program or other settings in a supervised router's place"}
	client.define(c)
	c.AddCommand(
		changeApplyCommand(f, client),
		&cobra.Command{
			Use: "back", Short: "End a trial, or change to the generation before", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				return client.change(&handoff.Message{Kind: handoff.KindRollBack})
			},
		},
		&cobra.Command{
			Use: "check", Short: "Tell the keys in which settings differ and how each changes; changes nothing", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return client.compareSettings() },
		},
		changeStatusCommand(client),
	)
	return c
}

func changeApplyCommand(f *flags, client *supervisorClient) *cobra.Command {
	var program string
	c := &cobra.Command{
		Use: "apply", Short: "Change, and wait for what becomes of it", Args: cobra.NoArgs,
		Long: "--program, --config and --operator name what is new; what is not named stays. " +
			"Exit code 1: refused, or it fell\nback; the last line says why.",
		RunE: func(*cobra.Command, []string) error {
			return client.change(&handoff.Message{
				Kind:     handoff.KindApply,
				Program:  absolute(program),
				Config:   absolute(f.overrides.File),
				Operator: absolute(f.operatorFile),
			})
		},
	}
	c.Flags().StringVar(&program, "program", "", "another program")
	return c
}

func absolute(path string) string {
	if path == "" {
		return ""
	}
	full, err := filepath.Abs(path)
	if err != nil {
		return path
	}
	return full
}

// change asks for an upgrade or a roll back, and prints how it goes.
func (c *supervisorClient) change(message *handoff.Message) error {
	last, err := c.request(message, func(note string) { fmt.Println(note) })
	switch {
	case err != nil:
		return err
	case last.FellBack:
		return errFellBack
	case !last.OK:
		return errRejected
	}
	return nil
}

// compareSettings prints in which keys the settings differ from those that the
// supervisor has settled on.
func (c *supervisorClient) compareSettings() error {
	if _, err := c.flags.load(); err != nil {
		return err
	}
	fresh, err := flatten(c.flags)
	if err != nil {
		return err
	}
	folder, err := c.find()
	if err != nil {
		return err
	}
	settled, err := supervisor.SettledSettings(folder)
	if err != nil {
		return err
	}
	diff := upgrade.Diff(settled, fresh)
	for _, change := range diff {
		fmt.Println(change)
	}
	mode, possible := upgrade.HardestMode(diff)
	switch {
	case len(diff) == 0:
		fmt.Println("no key differs")
	case !possible:
		return errImmutable
	case mode == upgrade.ModeLive:
		fmt.Println("all of it changes while the router runs: put it into the platform's file and send the supervisor SIGHUP")
	default:
		fmt.Println("it takes a new generation")
	}
	return nil
}

func changeStatusCommand(client *supervisorClient) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "Tell the generations and what became of the last change", Args: cobra.NoArgs}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	c.RunE = func(*cobra.Command, []string) error {
		answer, err := client.request(&handoff.Message{Kind: handoff.KindStatus}, nil)
		if err != nil {
			return err
		}
		if asJSON {
			return printJSON(answer.Status)
		}
		printUpgradeStatus(answer.Status)
		return nil
	}
	return c
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", " ")
	return encoder.Encode(value)
}

func printUpgradeStatus(status *handoff.Status) {
	fmt.Printf("%s for %.1f s; supervisor %d, %d restarts\n",
		status.State, float64(status.SinceMS)/millisPerSecond, status.SupervisorPID, status.Restarts)
	printProcesses(status)
	for _, process := range []*handoff.Process{status.Serving, status.Next} {
		if process != nil && process.ViolatedRule != "" {
			fmt.Println("rule violated:", process.ViolatedRule)
		}
	}
	printManifest("settled", status.Settled)
	printManifest("before", status.Previous)
	if status.LastOutcome != "" {
		fmt.Println("last change:", status.LastOutcome)
	}
	if !status.Persistent {
		fmt.Println("the state file can't be written: a cold start begins with what it has")
	}
}

func printProcesses(status *handoff.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "generation\twhat\tprocess\tstate\tMB\tdescriptors\t"+
		"completed\trejected\taborted\tclient gone\tlate\theartbeat")
	printProcess(w, "settled", status.Serving)
	printProcess(w, "new", status.Next)
}

func printProcess(w *tabwriter.Writer, what string, process *handoff.Process) {
	if process == nil {
		return
	}
	requests := process.Requests
	fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms ago\n",
		process.Generation, what, process.PID, process.AgentState, process.MemoryMB, process.Descriptors,
		requests.Completed, requests.Rejected, requests.Aborted, requests.ClientGone, requests.Late,
		process.HeartbeatAgeMS)
}

func printManifest(what string, manifest *handoff.Manifest) {
	if manifest != nil {
		fmt.Printf("%s: generation %d, %s (%s, %s), settings %016x\n",
			what, manifest.Generation, manifest.Program, manifest.Version, manifest.ProgramSum, manifest.Settings)
	}
}
