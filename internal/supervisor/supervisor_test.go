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

// Checks that a second supervisor of a folder is rejected with an error that names the
// PID of the first, and that the folder is free once the first has closed it.
func TestFolderHasOneSupervisor(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "folder")
	first, second := newTestSupervisor(folder), newTestSupervisor(folder)
	if err := first.open(); err != nil {
		t.Fatal(err)
	}
	err := second.open()
	if !errors.Is(err, ErrFolderLocked) || !strings.Contains(err.Error(), fmt.Sprintf("process %d", os.Getpid())) {
		t.Errorf("second supervisor while the first runs: %v", err)
	}
	first.close()
	if err := second.open(); err != nil {
		t.Errorf("second supervisor after the first has closed the folder: %v", err)
	}
	second.close()
}

// Checks that the subfolders of the settled and the previous generation, of the one before
// the rollout, of a change in progress and of a draining process stay, that those of other
// generations are removed, and that an entry of another name stays.
func TestRemovesUnusedGenerations(t *testing.T) {
	s := newTestSupervisor(t.TempDir())
	s.file = &handoff.StateFile{
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
	var remaining []string
	for _, entry := range entries {
		remaining = append(remaining, entry.Name())
	}
	if want := []string{"1", "2", "3", "4", "5", "x"}; !slices.Equal(remaining, want) {
		t.Errorf("entries of the folder: got %v, want %v", remaining, want)
	}
}

// Checks that bindSockets keeps an open socket whose address is still configured and closes
// the others, and that the kept descriptor accepts connections.
func TestBindsWantedSockets(t *testing.T) {
	s := newTestSupervisor(t.TempDir())
	if err := s.bindSockets(map[string]string{clientSocket: "127.0.0.1:0", membershipSocket: "127.0.0.1:0"}); err != nil {
		t.Fatal(err)
	}
	socket := s.sockets[clientSocket]
	if err := s.bindSockets(map[string]string{clientSocket: "127.0.0.1:0"}); err != nil {
		t.Fatal(err)
	}
	if s.sockets[clientSocket] != socket || !slices.Equal(s.socketNames, []string{clientSocket}) {
		t.Errorf("sockets %v with the names %v, want only %q, still open", s.sockets, s.socketNames, clientSocket)
	}
	defer socket.Close()
	listener, err := net.FileListener(socket)
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
		t.Errorf("accept on the kept socket: %v", err)
	}
}

// Checks that startTicksOf finds running processes and returns 0 for one that has ended.
// Otherwise the supervisor could kill another process that got the PID of an ended one.
func TestStartTicksTellAProcessFromAnEndedOne(t *testing.T) {
	if startTicksOf(os.Getpid()) == 0 || usageOf(os.Getpid()) == (upgrade.Resources{}) {
		t.Error("no start time or no resource usage of this process")
	}
	cmd := exec.Command("cat")
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pid := cmd.Process.Pid
	if startTicksOf(pid) == 0 {
		t.Error("no start time of a running child")
	}
	stdin.Close()
	if _, err := io.ReadAll(stdout); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	if ticks := startTicksOf(pid); ticks != 0 {
		t.Errorf("start time of an ended child: got %d ticks, want 0", ticks)
	}
}

// Checks that a rejection gives the first reason that applies (failed check, keys that
// can't change, too few resources), that it names the keys, and that a long list of keys
// is cut.
func TestRejectionNamesItsReason(t *testing.T) {
	never := upgrade.Change{Key: "config.name", Old: "a", New: "b", Mode: upgrade.ModeImmutable}
	handoffChange := upgrade.Change{Key: "config.x", New: "1", Mode: upgrade.ModeHandoff}
	checkErr, budgetErr := errors.New("failed"), errors.New("memory")
	for _, tc := range []struct {
		name      string
		err       error
		changes   []upgrade.Change
		budgetErr error
		want      string
	}{
		{"check failed", checkErr, nil, budgetErr, "failed"},
		{
			"key that can't change", nil,
			[]upgrade.Change{handoffChange, never},
			budgetErr,
			"keys that can't change on this router: config.name: b, was a (not at all)",
		},
		{"machine too small", nil, []upgrade.Change{handoffChange}, budgetErr, "memory"},
		{"possible", nil, []upgrade.Change{handoffChange}, nil, ""},
	} {
		if got := rejectionReason(tc.err, tc.changes, tc.budgetErr); got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, got, tc.want)
		}
	}
	changes := slices.Repeat([]upgrade.Change{handoffChange}, maxDescribedChanges+3)
	if text := describeChanges(changes, upgrade.ModeHandoff); !strings.HasSuffix(text, "; and 3 more") {
		t.Errorf("text on %d changes: %q", len(changes), text)
	}
}
