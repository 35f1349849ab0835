package supervisor

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

func newTestSupervisor(folder string) *Supervisor {
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := Config{Folder: folder, Log: logrus.NewEntry(log)}
	return &Supervisor{config: config, log: config.Log, sockets: map[string]*os.File{}, persistent: true}
}

// A second supervisor of a folder is rejected, with the process that has it.
func TestFolderHasOneSupervisor(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "folder")
	first, second := newTestSupervisor(folder), newTestSupervisor(folder)
	if err := first.open(); err != nil {
		t.Fatal(err)
	}
	err := second.open()
	if !errors.Is(err, ErrFolderLocked) || !strings.Contains(err.Error(), fmt.Sprintf("process %d", os.Getpid())) {
		t.Error(err)
	}
	first.close()
	if err := second.open(); err != nil {
		t.Error(err)
	}
	second.close()
}

// Only folders of generations that may still be needed stay, and no other entry goes.
func TestRemovesUnusedGenerations(t *testing.T) {
	s := newTestSupervisor(t.TempDir())
	s.file = &handoff.File{
		Settled: &handoff.Manifest{Generation: 4}, Previous: &handoff.Manifest{Generation: 3},
		Rollout: &handoff.RolloutRecord{Previous: &handoff.Manifest{Generation: 1}},
	}
	s.change = &change{manifest: &handoff.Manifest{Generation: 5}}
	s.draining = []*process{{manifest: &handoff.Manifest{Generation: 2}}}
	for _, name := range []string{"0", "1", "2", "3", "4", "5", "6", "x"} {
		if err := os.Mkdir(s.path(name), folderMode); err != nil {
			t.Fatal(err)
		}
	}
	s.removeUnusedGenerations()
	entries, err := os.ReadDir(s.config.Folder)
	if err != nil {
		t.Fatal(err)
	}
	var left []string
	for _, entry := range entries {
		left = append(left, entry.Name())
	}
	if want := []string{"1", "2", "3", "4", "5", "x"}; !slices.Equal(left, want) {
		t.Errorf("%v instead of %v", left, want)
	}
}

// Sockets that are wanted stay the same, others are closed, and a descriptor that is
// handed down still accepts.
func TestBindsWantedSockets(t *testing.T) {
	s := newTestSupervisor(t.TempDir())
	if err := s.bindSockets(map[string]string{clientSocket: "127.0.0.1:0", membershipSocket: "127.0.0.1:0"}); err != nil {
		t.Fatal(err)
	}
	client := s.sockets[clientSocket]
	if err := s.bindSockets(map[string]string{clientSocket: "127.0.0.1:0"}); err != nil {
		t.Fatal(err)
	}
	if s.sockets[clientSocket] != client || !slices.Equal(s.socketNames, []string{clientSocket}) {
		t.Errorf("%v, %v", s.sockets, s.socketNames)
	}
	defer client.Close()
	listener, err := net.FileListener(client)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if _, err := listener.Accept(); err != nil {
		t.Error(err)
	}
}

// A process is told by its start, since its PID may be another one's once it has ended.
func TestStartTicksTellAProcessFromAnEndedOne(t *testing.T) {
	if startTicksOf(os.Getpid()) == 0 || usageOf(os.Getpid()) == (upgrade.Resources{}) {
		t.Error("this process is not found")
	}
	cmd := exec.Command("cat")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pid := cmd.Process.Pid
	if startTicksOf(pid) == 0 {
		t.Error("a child is not found")
	}
	in.Close()
	if _, err := io.ReadAll(out); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	if ticks := startTicksOf(pid); ticks != 0 {
		t.Errorf("a child that has ended has started at %d", ticks)
	}
}

// The reason of a rejection is the first that applies, and names the keys.
func TestRejectionNamesItsReason(t *testing.T) {
	never := upgrade.Change{Key: "config.name", Old: "a", New: "b", Mode: upgrade.ModeNever}
	handoffChange := upgrade.Change{Key: "config.x", New: "1", Mode: upgrade.ModeHandoff}
	failed, small := errors.New("failed"), errors.New("memory")
	for _, c := range []struct {
		name      string
		err       error
		changes   []upgrade.Change
		budgetErr error
		want      string
	}{
		{"check failed", failed, nil, small, "failed"},
		{
			"key that can't change", nil,
			[]upgrade.Change{handoffChange, never},
			small,
			"keys that can't change on this router: config.name: b, was a (not at all)",
		},
		{"machine too small", nil, []upgrade.Change{handoffChange}, small, "memory"},
		{"possible", nil, []upgrade.Change{handoffChange}, nil, ""},
	} {
		if got := rejectionReason(c.err, c.changes, c.budgetErr); got != c.want {
			t.Errorf("%s: %q instead of %q", c.name, got, c.want)
		}
	}
	many := slices.Repeat([]upgrade.Change{handoffChange}, maxDescribedChanges+3)
	if text := describeChanges(many, upgrade.ModeHandoff); !strings.HasSuffix(text, "; and 3 more") {
		t.Error(text)
	}
}
