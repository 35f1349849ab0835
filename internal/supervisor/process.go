package supervisor

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgrade"
	"quilldoor/internal/upgradeagent"
)

// process is a router process of a generation.
type process struct {
	manifest      *handoff.Manifest
	pid           int
	startTicks    uint64    // distinguishes it from a later process with the same PID
	cmd           *exec.Cmd // nil: an earlier supervisor started it
	conn          *handoff.Conn
	seed          string // of its random number generator
	budget        upgrade.Resources
	usage         upgrade.Resources
	helloReceived bool // or it was adopted
	ended         bool
	wasSettled    bool // before this supervisor started

	// From the process's messages.
	agentState          upgrade.AgentState
	requests            upgrade.RequestCounts
	outstandingAttempts map[string]policy.AttemptCounts // by endpoint
	lastMessageAt       time.Time

	killAt time.Time // while it drains: when it is killed
}

// id identifies the process in the invariant monitor.
func (p *process) id() uint64 { return uint64(p.pid) }

// send sends a message. A process that does not read it is detected by missing heartbeats.
func (p *process) send(m *handoff.Message) {
	if p.conn != nil {
		_ = p.conn.Send(m)
	}
}

// kill kills the process, unless it has ended and its PID may be another process's.
func (p *process) kill() { killProcess(p.pid, p.startTicks) }

func killProcess(pid int, startTicks uint64) {
	if startTicksOf(pid) == startTicks {
		_ = unix.Kill(pid, unix.SIGKILL) // it may have ended meanwhile
	}
}

// start starts a process of a generation, which inherits the listening sockets.
func (s *Supervisor) start(manifest *handoff.Manifest, budget upgrade.Resources) (*process, error) {
	p := &process{manifest: manifest, budget: budget, lastMessageAt: time.Now(), seed: newSeed()}
	config, err := s.writeProcessConfig(manifest, p.seed, budget)
	if err != nil {
		return nil, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("socket pair: %w", err)
	}
	peerEnd := os.NewFile(uintptr(pair[1]), "supervisor")
	defer peerEnd.Close()
	if p.conn, err = handoff.FromFile(os.NewFile(uintptr(pair[0]), "generation")); err != nil {
		return nil, err
	}
	p.cmd = s.command(manifest, config, peerEnd)
	if err := p.cmd.Start(); err != nil {
		p.conn.Close()
		return nil, err
	}
	p.pid = p.cmd.Process.Pid
	p.startTicks = startTicksOf(p.pid)
	s.log.WithFields(logrus.Fields{
		"generation": manifest.Generation, "pid": p.pid, "memory_mb": budget.MemoryMB, "sockets": budget.Descriptors,
	}).Info("supervisor: process started")
	go s.receive(p, p.conn)
	go s.wait(p)
	return p, nil
}

// command returns the command that starts a router process, with the descriptors in the
// order that package upgradeagent expects.
func (s *Supervisor) command(manifest *handoff.Manifest, config string, conn *os.File) *exec.Cmd {
	cmd := exec.Command(manifest.Program, "serve", "--config", config,
		"--operator", s.generationPath(manifest.Generation, operatorFile),
		"--log-level", s.log.Logger.GetLevel().String())
	cmd.ExtraFiles = []*os.File{conn}
	for _, name := range s.socketNames {
		cmd.ExtraFiles = append(cmd.ExtraFiles, s.sockets[name])
	}
	cmd.Stdout = os.Stderr
	cmd.Stderr = os.Stderr
	cmd.Env = append(processEnvironment(),
		upgradeagent.EnvFolder+"="+s.config.Folder,
		upgradeagent.EnvGeneration+"="+generationName(manifest.Generation),
		upgradeagent.EnvSockets+"="+strings.Join(s.socketNames, ","),
		upgradeagent.EnvProgram+"="+manifest.ProgramSum)
	return cmd
}

// wait waits for the end of a process that this supervisor started, and queues it as an
// event.
func (s *Supervisor) wait(p *process) {
	err := p.cmd.Wait()
	s.events <- func() {
		s.log.WithFields(logrus.Fields{
			"generation": p.manifest.Generation, "pid": p.pid, "how": fmt.Sprint(err),
		}).Info("supervisor: process ended")
		s.processEnded(p)
	}
}

// processEnvironment returns this process's environment without the platform's variables,
// whose values are in the configuration file, and without the folder of a supervisor.
func processEnvironment() (environment []string) {
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "LB_") && !strings.HasPrefix(variable, upgradeagent.EnvFolder+"=") {
			environment = append(environment, variable)
		}
	}
	return environment
}

func newSeed() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return strconv.FormatUint(binary.LittleEndian.Uint64(b[:]), 16)
}

// processes returns the running processes: the old, the new and the draining ones.
func (s *Supervisor) processes() (running []*process) {
	for _, p := range append([]*process{s.old, s.new}, s.draining...) {
		if p != nil {
			running = append(running, p)
		}
	}
	return running
}

// drain adds a process to the draining ones, which killOverdue kills when they have not
// ended in time. The message commands it to end; it is nil when the process was killed.
func (s *Supervisor) drain(p *process, m *handoff.Message) {
	if m != nil {
		p.send(m)
	}
	p.killAt = time.Now().Add(time.Duration(s.config.Timeouts.DrainMicros) * time.Microsecond)
	if !p.ended {
		s.draining = append(s.draining, p)
	}
}
