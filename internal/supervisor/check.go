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

// CheckResult is what `check --json` of a program says of its settings. Unknown keys of
// a later version are ignored.
type CheckResult struct {
	Format      int               // handoff.Format of the program: 1 so far; less is rejected, more is taken
	Version     string            // of the program, for people
	Name        string            // of the router
	MemoryMB    int               // of the machine, in units of 2^20 bytes
	Descriptors int               // of the machine: open files and sockets
	LongestMS   int64             // the longest time limit of a request
	Sockets     map[string]string // listening addresses, host:port, by name; "listen", that of clients, must be there
	Flat        map[string]string // the settings, see upgrade.Flatten
	Digest      uint64            `json:",string"` // upgrade.Digest of them
}

const (
	// checkTimeout is less than that of the state machine, so that the reason is known.
	checkTimeout = 9 * time.Second
	// checkWaitDelay is for output of a program's children after it has ended.
	checkWaitDelay = time.Second
	// maxCheckErrorBytes bounds what a program says of an error.
	maxCheckErrorBytes = 4 << 10
	// checkSeed is the seed in the configuration that is checked.
	checkSeed = "1"
)

// check lets a generation's program check its settings. It runs beside the loop.
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
		return nil, errors.New("check: the program's report names no format")
	}
	if result.Sockets[clientSocket] == "" {
		return nil, fmt.Errorf("check: the program's report has no socket %s", clientSocket)
	}
	return result, nil
}

// boundedBuffer keeps the first bytes of what is written.
type boundedBuffer struct {
	bytes.Buffer
	limit int
}

func (b *boundedBuffer) Write(p []byte) (int, error) {
	b.Buffer.Write(p[:min(len(p), max(b.limit-b.Len(), 0))])
	return len(p), nil
}

// checkChange prepares the change that is asked for beside the loop, and feeds whether
// it is possible.
func (s *Supervisor) checkChange() {
	change := s.change
	asked := change.manifest
	change.manifest = nil
	generation := s.file.Next
	s.file.Next++
	settled := s.file.Settled
	present := s.presentUsage()
	go func() {
		manifest, checked, err := s.prepare(generation,
			cmp.Or(asked.Program, settled.Program),
			cmp.Or(asked.Config, settled.Config),
			cmp.Or(asked.Operator, settled.Operator))
		var differences []upgrade.Change
		if err == nil {
			differences, err = s.settingsDiff(settled, checked)
		}
		budget, budgetErr := upgrade.ShareBudget(s.machineResources, present)
		s.events <- func() {
			if s.change != change {
				return // it took too long, and was rejected
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

// presentUsage is what all processes use, also those that drain.
func (s *Supervisor) presentUsage() (sum upgrade.Resources) {
	for _, p := range s.processes() {
		sum.MemoryMB += p.usage.MemoryMB
		sum.Descriptors += p.usage.Descriptors
	}
	return sum
}

// rejectionReason is why a change is not possible; "": it is.
func rejectionReason(err error, differences []upgrade.Change, budgetErr error) string {
	if err != nil {
		return err.Error()
	}
	if _, possible := upgrade.HardestMode(differences); !possible {
		return "keys that can't change on this router: " + describeChanges(differences, upgrade.ModeNever)
	}
	if budgetErr != nil {
		return budgetErr.Error()
	}
	return ""
}

// settingsDiff returns the changes against the settled settings.
func (s *Supervisor) settingsDiff(settled *handoff.Manifest, checked *CheckResult) ([]upgrade.Change, error) {
	before := map[string]string{}
	if err := readJSON(s.generationPath(settled.Generation, settingsFile), &before); err != nil {
		return nil, err
	}
	return upgrade.Diff(before, checked.Flat), nil
}

// maxDescribedChanges bounds the keys in a note for people.
const maxDescribedChanges = 12

// describeChanges names the changes of a mode, and with ModeHandoff also the live ones.
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
