package supervisor

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// Config configures a supervisor.
type Config struct {
	Folder   string // path; created when it is missing
	Timeouts upgrade.Timeouts
	Program  string // path of the first generation's program
	// Platform is the path of the platform's configuration. Every process gets the keys
	// name, listen, seed, board, known and limits from this file, not from the
	// configuration of its generation.
	Platform   string
	Operator   string    // path of the first generation's operator file; "": none
	Plan       string    // path of the rollout plan; "": none
	MemberName string    // the router's name in the membership; "": it is not a member
	Observer   *Observer // nil: invariants are not monitored
	Log        *logrus.Entry
}

const (
	tickInterval = 20 * time.Millisecond
	// sampleInterval is how often processes, invariants and the rollout are checked.
	sampleInterval = 100 * time.Millisecond
	// pausedAfter is the time between two ticks beyond which the supervisor assumes that
	// it was itself stopped or got no CPU time.
	pausedAfter = 300 * time.Millisecond
	// maxQueuedEvents bounds the event queue; goroutines block while it is full.
	maxQueuedEvents = 256
)

// Supervisor is the state of one call of Run. Only its loop changes it.
type Supervisor struct {
	config    Config
	log       *logrus.Entry
	startedAt time.Time
	events    chan func() // called by the loop

	lock     *os.File
	file     *handoff.StateFile // content of the state file
	listener *net.UnixListener
	// persistent reports whether the last write of the state file succeeded.
	persistent bool

	machine       *upgrade.Machine
	trial         upgrade.TrialMonitor
	old, new      *process // nil: none
	draining      []*process
	change        *change        // in progress; nil: none
	releasedState *handoff.State // released by the old process, not yet sent to the new one

	machineResources upgrade.Resources
	soleBudget       upgrade.Resources // of a process while it is the only one
	peakUsage        upgrade.Resources // of the supervisor and all processes together
	sockets          map[string]*os.File
	socketNames      []string // in the order in which processes inherit them

	waitingTools  []*handoff.Conn // connections that get the outcome of the change
	lastOutcome   string          // of the last change
	settledStarts int             // starts of the settled generation's process; changes don't count
	crashedAt     time.Time       // zero: a process serves
	lastCrashMS   int64           // time from the last crash until a process served again

	rollout   rolloutFollower
	observer  *observer // nil: invariants are not monitored
	tickedAt  time.Time
	sampledAt time.Time
}

// change is a change in progress.
type change struct {
	// manifest is the requested program and settings until the check begins, nil during
	// the check, and the new generation's manifest afterwards.
	manifest *handoff.Manifest
	budget   upgrade.Resources // of the new generation
	reason   string            // first reason why it was rejected or fell back

	rolloutRunID   uint64 // the rollout that requested it; 0: the operator did
	rollback       bool   // to the generation before the rollout
	decidedLocally bool   // a rollback that the rollout's leader has not decided
}

func (s *Supervisor) now() int64 { return time.Since(s.startedAt).Microseconds() }

// Run runs the router until a signal arrives on term, and reloads the configuration on
// each signal on hup. It returns an error only when it can't start, because of the folder,
// the settings, the machine's resources or the listening addresses. The error wraps
// ErrFolderLocked when another supervisor uses the folder, and handoff.ErrNewerFormat when
// a later version has written the state file.
func Run(config Config, term, hup <-chan os.Signal) error {
	s := &Supervisor{
		config:     config,
		log:        config.Log,
		startedAt:  time.Now(),
		events:     make(chan func(), maxQueuedEvents),
		sockets:    map[string]*os.File{},
		persistent: true,
	}
	if err := s.open(); err != nil {
		return err
	}
	defer s.close()
	if err := s.begin(); err != nil {
		return err
	}
	s.loop(term, hup)
	s.log.Info("supervisor: ended")
	return nil
}

func (s *Supervisor) loop(term, hup <-chan os.Signal) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.tickedAt = time.Now()
	s.sampledAt = s.tickedAt
	for s.machine.State != upgrade.StateStopped {
		select {
		case event := <-s.events:
			event()
		case <-ticker.C:
			s.tick()
		case signal := <-term:
			s.log.WithField("signal", signal.String()).Info("supervisor: shutting down")
			s.feed(upgrade.InputShutdown)
		case <-hup:
			s.reload()
		}
	}
}

// open locks the folder and reads the state file of an earlier supervisor, if any.
func (s *Supervisor) open() error {
	if err := s.lockFolder(); err != nil {
		return err
	}
	var err error
	if s.file, err = handoff.ReadStateFile(s.path(stateFile)); err != nil {
		return fmt.Errorf("%s: %w", folderKey, err)
	}
	return nil
}

func (s *Supervisor) close() {
	if s.listener != nil {
		s.listener.Close()
	}
	for _, tool := range s.waitingTools {
		tool.Close()
	}
	s.lock.Close()
}

// begin determines the settled generation, adopts processes that outlived an earlier
// supervisor, and creates the state machine.
func (s *Supervisor) begin() error {
	if s.file == nil {
		first, _, err := s.prepare(1, s.config.Program, s.config.Platform, s.config.Operator)
		if err != nil {
			return err
		}
		s.file = &handoff.StateFile{Next: 2, Settled: first}
	}
	s.verifyProgram()
	checked, err := s.check(s.file.Settled)
	if err != nil {
		return fmt.Errorf("generation %d: %w", s.file.Settled.Generation, err)
	}
	s.machineResources = upgrade.Resources{MemoryMB: checked.MemoryMB, Descriptors: checked.Descriptors}
	if s.soleBudget, err = upgrade.SoleBudget(s.machineResources); err != nil {
		return err
	}
	orphans, err := s.listenAndFindOrphans()
	if err != nil {
		return err
	}
	s.adopt(orphans)
	if err := s.bindSockets(checked.Sockets); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if s.machine == nil {
		s.machine = upgrade.NewMachine(s.config.Timeouts, s.now())
	}
	s.writeState()
	s.startObserver()
	s.log.WithFields(logrus.Fields{
		"folder": s.config.Folder, "settled": s.file.Settled.Generation, "state": s.machine.State.String(),
		"memory_mb": s.soleBudget.MemoryMB, "sockets": s.soleBudget.Descriptors,
	}).Info("supervisor: started")
	return nil
}

// verifyProgram compares the settled generation's program file with its recorded digest.
// When it differs, the previous generation becomes the settled one if its program is
// unchanged. Otherwise the settled generation runs the changed file, or the supervisor's
// own program when the file can't be read.
func (s *Supervisor) verifyProgram() {
	settled := s.file.Settled
	digest, err := handoff.FileDigest(settled.Program)
	if err == nil && digest == settled.ProgramSum {
		return
	}
	log := s.log.WithFields(logrus.Fields{
		"generation": settled.Generation, "program": settled.Program, "was": settled.ProgramSum, "is": digest,
	})
	if previous := s.file.Previous; previous != nil && programUnchanged(previous) {
		log.Error("supervisor: settled program has changed, the previous one is started")
		s.file.Settled = previous
		s.file.Previous = nil
		return
	}
	if err != nil {
		log.WithError(err).Error("supervisor: settled program can't be read, the supervisor's own is started")
		settled.Program = s.config.Program
		digest, _ = handoff.FileDigest(settled.Program) // on an error its start fails, too
	} else {
		log.Error("supervisor: settled program has changed, it is started as it is")
	}
	settled.ProgramSum = digest
}

func programUnchanged(m *handoff.Manifest) bool {
	digest, err := handoff.FileDigest(m.Program)
	return err == nil && digest == m.ProgramSum
}
