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

// Errors of the commands 'change apply' and 'change back', which print the reason before.
var (
	errRejected = errors.New("the supervisor has refused the change")
	errFellBack = errors.New("the router has fallen back to the settled generation")
)

// errImmutable reports that the settings differ in a key that can't change on a running
// router.
var errImmutable = errors.New("at least one of these keys can't change on this router")

// supervisorClient sends requests to the supervisor of a folder.
type supervisorClient struct {
	flags  *flags
	folder string // "": keep.folder of the operator's file
}

func (c *supervisorClient) define(command *cobra.Command) {
	command.PersistentFlags().StringVar(&c.folder, "folder", "", "the supervisor's folder (default: keep.folder of the operator's file)")
}

// findFolder returns the supervisor's folder.
func (c *supervisorClient) findFolder() (string, error) {
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

// request sends a message and returns the final reply. It calls progress with the note of
// each reply before that one.
func (c *supervisorClient) request(message *handoff.Message, progress func(note string)) (*handoff.Message, error) {
	folder, err := c.findFolder()
	if err != nil {
		return nil, err
	}
	return handoff.Request(filepath.Join(folder, upgradeagent.SocketName), message, progress)
}

// changeCommand returns the command 'change', which upgrades a supervised router or rolls
// it back.
func changeCommand(f *flags) *cobra.Command {
	client := &supervisorClient{flags: f}
	c := &cobra.Command{Use: "change", Short: "Upgrade a supervised router to another program or other settings"}
	client.define(c)
	c.AddCommand(
		changeApplyCommand(f, client),
		&cobra.Command{
			Use: "back", Short: "Roll back: end a trial, or return to the previous generation", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				return client.change(&handoff.Message{Kind: handoff.KindRollBack})
			},
		},
		&cobra.Command{
			Use: "check", Short: "List the keys that differ from the settled settings and how each can change; changes nothing", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return client.compareSettings() },
		},
		changeStatusCommand(client),
	)
	return c
}

func changeApplyCommand(f *flags, client *supervisorClient) *cobra.Command {
	var program string
	c := &cobra.Command{
		Use: "apply", Short: "Upgrade, and wait for the outcome", Args: cobra.NoArgs,
		Long: "--program, --config and --operator name the new files; those not named stay the same. " +
			"Exit code 1: the upgrade\nwas refused or fell back; the last line of the standard output gives the reason.",
		RunE: func(*cobra.Command, []string) error {
			return client.change(&handoff.Message{
				Kind:     handoff.KindApply,
				Program:  absolute(program),
				Config:   absolute(f.overrides.File),
				Operator: absolute(f.operatorFile),
			})
		},
	}
	c.Flags().StringVar(&program, "program", "", "path of the new program")
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

// change requests an upgrade or a rollback, and prints its progress and outcome.
func (c *supervisorClient) change(message *handoff.Message) error {
	reply, err := c.request(message, func(note string) { fmt.Println(note) })
	switch {
	case err != nil:
		return err
	case reply.FellBack:
		return errFellBack
	case !reply.OK:
		return errRejected
	}
	return nil
}

// compareSettings prints the keys in which the settings differ from the supervisor's
// settled ones, and how they can change.
func (c *supervisorClient) compareSettings() error {
	if _, err := c.flags.load(); err != nil {
		return err
	}
	proposed, err := flatten(c.flags)
	if err != nil {
		return err
	}
	folder, err := c.findFolder()
	if err != nil {
		return err
	}
	settled, err := supervisor.SettledSettings(folder)
	if err != nil {
		return err
	}
	diff := upgrade.Diff(settled, proposed)
	for _, change := range diff {
		fmt.Println(change)
	}
	mode, possible := upgrade.MostRestrictiveMode(diff)
	switch {
	case len(diff) == 0:
		fmt.Println("no key differs")
	case !possible:
		return errImmutable
	case mode == upgrade.ModeLive:
		fmt.Println("all of these keys change while the router runs: edit the platform's file and send the supervisor SIGHUP")
	default:
		fmt.Println("the change requires a new generation")
	}
	return nil
}

func changeStatusCommand(client *supervisorClient) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "Show the generations and the outcome of the last change", Args: cobra.NoArgs}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	c.RunE = func(*cobra.Command, []string) error {
		reply, err := client.request(&handoff.Message{Kind: handoff.KindStatus}, nil)
		if err != nil {
			return err
		}
		if asJSON {
			return printJSON(reply.Status)
		}
		printUpgradeStatus(reply.Status)
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
		fmt.Println("the state file can't be written: a cold start begins with its present content")
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

func printProcess(w *tabwriter.Writer, role string, process *handoff.Process) {
	if process == nil {
		return
	}
	requests := process.Requests
	fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms ago\n",
		process.Generation, role, process.PID, process.AgentState, process.MemoryMB, process.Descriptors,
		requests.Completed, requests.Rejected, requests.Aborted, requests.ClientGone, requests.Late,
		process.HeartbeatAgeMS)
}

func printManifest(label string, manifest *handoff.Manifest) {
	if manifest != nil {
		fmt.Printf("%s: generation %d, %s (%s, %s), settings %016x\n",
			label, manifest.Generation, manifest.Program, manifest.Version, manifest.ProgramSum, manifest.Settings)
	}
}
