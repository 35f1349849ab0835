package supervisor

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"time"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// CheckResult is the report that a program prints on `check --json`. Keys that a later
// version adds are ignored.
type CheckResult struct {
	Format      int               // handoff.Format of the program; less than 1 is rejected, any later one accepted
	Version     string            // of the program, for people
	Name        string            // of the router
	MemoryMB    int               // of the machine, in units of 2^20 bytes
	Descriptors int               // of the machine: open files and sockets
	LongestMS   int64             // longest time limit of a request
	Sockets     map[string]string // listening addresses, host:port, by name; "listen", the clients' one, is required
	Flat        map[string]string // settings by flat key, see upgrade.Flatten
	Digest      uint64            `json:",string"` // upgrade.Digest of Flat
}

const (
	// checkTimeout is shorter than the state machine's timeout of a check, so that the
	// report of a timed-out change has the check's error as its reason.
	checkTimeout = 9 * time.Second
	// checkWaitDelay limits the wait for output of a program's children after it has ended.
	checkWaitDelay = time.Second
	// maxCheckErrorBytes bounds a program's error output; the rest is dropped.
	maxCheckErrorBytes = 4 << 10
	// checkSeed is the seed in the configuration that is checked.
	checkSeed = "1"
)

// check runs a generation's program to check its settings. It uses no state of the loop,
// so it may run in another goroutine.
func (s *Supervisor) check(m *handoff.Manifest) (*CheckResult, error) {
	config, err := s.writeProcessConfig(m, checkSeed, upgrade.Resources{})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, m.Program, "check", "--json", "--config", config, "--operator", m.Operator)
	cmd.WaitDelay = checkWaitDelay
	cmd.Env = processEnvironment()
	output := boundedBuffer{limit: maxSettingsBytes}
	errorOutput := boundedBuffer{limit: maxCheckErrorBytes}
	cmd.Stdout = &output
	cmd.Stderr = &errorOutput
	if err := cmd.Run(); err != nil {
		text := strings.TrimSpace(errorOutput.String())
		return nil, errors.New(cmp.Or(text, "check: "+err.Error()))
	}
	return parseCheckResult(output.Bytes())
}

func parseCheckResult(text []byte) (*CheckResult, error) {
	result := new(CheckResult)
	if err := json.Unmarshal(text, result); err != nil {
		return nil, fmt.Errorf("check: the program's report can't be read: %w", err)
	}
	if result.Format < 1 {
		return nil, fmt.Errorf("check: Format of the program's report is %d, at least 1 is required", result.Format)
	}
	if result.Sockets[clientSocket] == "" {
		return nil, fmt.Errorf("check: the program's report has no address of the socket %q", clientSocket)
	}
	return result, nil
}

// boundedBuffer keeps the first limit bytes that are written and drops the rest.
type boundedBuffer struct {
	bytes.Buffer
	limit int
}

func (b *boundedBuffer) Write(p []byte) (int, error) {
	b.Buffer.Write(p[:min(len(p), max(b.limit-b.Len(), 0))])
	return len(p), nil
}

// checkChange prepares the requested change in a goroutine, then feeds InputChecked or
// InputRejected to the state machine.
func (s *Supervisor) checkChange() {
	change := s.change
	requested := change.manifest
	change.manifest = nil
	generation := s.file.Next
	s.file.Next++
	settled := s.file.Settled
	usage := s.totalUsage()
	go func() {
		manifest, checked, err := s.prepare(generation,
			cmp.Or(requested.Program, settled.Program),
			cmp.Or(requested.Config, settled.Config),
			cmp.Or(requested.Operator, settled.Operator))
		var differences []upgrade.Change
		if err == nil {
			differences, err = s.settingsDiff(settled, checked)
		}
		budget, budgetErr := upgrade.ShareBudget(s.machineResources, usage)
		s.events <- func() {
			if s.change != change {
				return // the change has ended meanwhile
			}
			if reason := rejectionReason(err, differences, budgetErr); reason != "" {
				change.reason = reason
				s.feed(upgrade.InputRejected)
				return
			}
			change.manifest = manifest
			change.budget = budget
			s.reportProgress("checked: %s; %d MB and %d descriptors beside the present generation; %s",
				manifest.Version, budget.MemoryMB, budget.Descriptors,
				cmp.Or(describeChanges(differences, upgrade.ModeHandoff), "no key differs"))
			s.feed(upgrade.InputChecked)
		}
	}()
}

// totalUsage returns the resources in use by all processes, draining ones included.
func (s *Supervisor) totalUsage() (sum upgrade.Resources) {
	for _, p := range s.processes() {
		sum.MemoryMB += p.usage.MemoryMB
		sum.Descriptors += p.usage.Descriptors
	}
	return sum
}

// rejectionReason returns why a change is not possible, and "" when it is.
func rejectionReason(err error, differences []upgrade.Change, budgetErr error) string {
	if err != nil {
		return err.Error()
	}
	if _, possible := upgrade.MostRestrictiveMode(differences); !possible {
		return "keys that can't change on this router: " + describeChanges(differences, upgrade.ModeImmutable)
	}
	if budgetErr != nil {
		return budgetErr.Error()
	}
	return ""
}

// settingsDiff returns the differences between the settled settings and the checked ones.
func (s *Supervisor) settingsDiff(settled *handoff.Manifest, checked *CheckResult) ([]upgrade.Change, error) {
	before := map[string]string{}
	if err := readJSON(s.generationPath(settled.Generation, settingsFile), &before); err != nil {
		return nil, err
	}
	return upgrade.Diff(before, checked.Flat), nil
}

// maxDescribedChanges bounds the keys that a note to the operator lists.
const maxDescribedChanges = 12

// describeChanges lists the changes of a mode; ModeHandoff includes those of ModeLive.
func describeChanges(changes []upgrade.Change, mode upgrade.ChangeMode) string {
	var texts []string
	for _, c := range changes {
		if c.Mode == mode || mode == upgrade.ModeHandoff && c.Mode == upgrade.ModeLive {
			texts = append(texts, c.String())
		}
	}
	if more := len(texts) - maxDescribedChanges; more > 0 {
		texts = append(texts[:maxDescribedChanges], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(texts, "; ")
}
