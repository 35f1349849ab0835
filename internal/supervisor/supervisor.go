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

// Config of a supervisor.
type Config struct {
	Folder  string // path; made where it is missing
	Times   upgrade.Timeouts
	Program string // path, of the first generation
	// Platform is the path of the platform's configuration. Every process gets its keys name, listen, seed, board, known
	// and limits from there, whatever the configuration of its generation says.
	Platform   string
	Operator   string    // path of the operator's file, of the first generation; "": none
	Plan       string    // path of the rollout plan; "": none
	MemberName string    // the router's name among members; "": it has none
	Observer   *Observer // nil: invariants are not monitored
	Log        *logrus.Entry
}

const (
	tickInterval = 20 * time.Millisecond
	// sampleInterval is how often processes, invariants and the rollout are looked at.
	sampleInterval = 100 * time.Millisecond
	// pausedAfter is the delay of a tick from which on the supervisor is taken to have
	// been stopped or starved itself.
	pausedAfter = 300 * time.Millisecond
	// maxQueuedEvents bounds what goroutines may have the loop do before they wait.
	maxQueuedEvents = 256
)

// Supervisor of one router: the state of Run, which makes it and is its only caller.
type Supervisor struct {
	config    Config
	log       *logrus.Entry
	startedAt time.Time
	events    chan func() // run by the loop

	lock     *os.File
	file     *handoff.File // the state file's content
	listener *net.UnixListener
	// persistent: the state file could be written.
	persistent bool

	machine  *upgrade.Machine
	trial    upgrade.TrialMonitor
	old, new *process // nil: none
	draining []*process
	change   *change        // in progress; nil: none
	state    *handoff.State // released by the old process and not yet passed on

	machineResources upgrade.Resources
	soleBudget       upgrade.Resources // of a generation while it is the only one
	peakUsage        upgrade.Resources // of all processes together
	sockets          map[string]*os.File
	socketNames      []string // in the order in which they are handed down

	tools       []*handoff.Conn // that wait for the end of the change
	lastOutcome string          // of a change
	starts      int             // of the settled generation, without a change
	crashedAt   time.Time       // zero: the router serves
	lastCrashMS int64           // from the last crash until the router served again

	rollout   rolloutFollower
	observer  *observer // nil: invariants are not monitored
	tickedAt  time.Time
	sampledAt time.Time
}

// change is a change in progress.
type change struct {
	// manifest has what is asked for while it is checked, then the new generation; nil
	// in between.
	manifest *handoff.Manifest
	budget   upgrade.Resources // of the new generation
	reason   string            // why it was rejected or fell back

	rolloutRun  uint64 // the rollout that wants it; 0: the operator does
	rollback    bool   // of the rollout
	ownDecision bool   // a rollback that the rollout's leader did not ask for
}

func (s *Supervisor) now() int64 { return time.Since(s.startedAt).Microseconds() }

// Run runs the router until a signal on term asks to end, and has it reload its
// configuration on a signal on hup. It returns an error when it can't begin: one that
// wraps ErrFolderLocked or handoff.ErrNewerFormat, or says what else is wrong with the
// folder, the settings, the machine or the addresses.
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

// open locks the folder and reads the state that an earlier supervisor has left.
func (s *Supervisor) open() error {
	if err := s.lockFolder(); err != nil {
		return err
	}
	var err error
	if s.file, err = handoff.ReadFile(s.path(stateFile)); err != nil {
		return fmt.Errorf("%s: %w", folderKey, err)
	}
	return nil
}

func (s *Supervisor) close() {
	if s.listener != nil {
		s.listener.Close()
	}
	for _, tool := range s.tools {
		tool.Close()
	}
	s.lock.Close()
}

// begin finds the settled generation, adopts processes that have outlived an earlier
// supervisor, and starts the state machine.
func (s *Supervisor) begin() error {
	if s.file == nil {
		first, _, err := s.prepare(1, s.config.Program, s.config.Platform, s.config.Operator)
		if err != nil {
			return err
		}
		s.file = &handoff.File{Next: 2, Settled: first}
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
		s.machine = upgrade.NewMachine(s.config.Times, s.now())
	}
	s.writeState()
	s.startObserver()
	s.log.WithFields(logrus.Fields{
		"folder": s.config.Folder, "settled": s.file.Settled.Generation, "state": s.machine.State.String(),
		"memory_mb": s.soleBudget.MemoryMB, "sockets": s.soleBudget.Descriptors,
	}).Info("supervisor: started")
	return nil
}

// verifyProgram sees to it that the settled generation's program is the one that was
// settled. Where it is not, the previous generation becomes the settled one if its
// program is intact; else what is there is run.
func (s *Supervisor) verifyProgram() {
	settled := s.file.Settled
	digest, err := handoff.FileDigest(settled.Program)
	if err == nil && digest == settled.ProgramSum {
		return
	}
	log := s.log.WithFields(logrus.Fields{
		"generation": settled.Generation, "program": settled.Program, "was": settled.ProgramSum, "is": digest,
	})
	if previous := s.file.Previous; previous != nil && isIntact(previous) {
		log.Error("supervisor: settled program has changed, the previous one is started")
		s.file.Settled = previous
		s.file.Previous = nil
		return
	}
	if err != nil {
		log.WithError(err).Error("supervisor: settled program can't be read, the supervisor's own is started")
		settled.Program = s.config.Program
		digest, _ = handoff.FileDigest(settled.Program) // its start will fail, too
	} else {
		log.Error("supervisor: settled program has changed, it is started as it is")
	}
	settled.ProgramSum = digest
}

func isIntact(m *handoff.Manifest) bool {
	digest, err := handoff.FileDigest(m.Program)
	return err == nil && digest == m.ProgramSum
}
