package supervisor

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
	"quilldoor/internal/upgradeagent"
)

// adoptionTimeout limits the wait for orphans to connect; they retry ten times a second.
const adoptionTimeout = time.Second

// listenAndFindOrphans opens the socket for processes and tools. It then waits until the
// processes that the state file lists as running, and that are alive, have connected.
func (s *Supervisor) listenAndFindOrphans() ([]*process, error) {
	path := s.path(upgradeagent.SocketName)
	_ = os.Remove(path) // left by an earlier supervisor; the folder's lock excludes another listener
	var err error
	s.listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", folderKey, err)
	}
	_ = os.Chmod(path, privateMode) // the folder is private, too
	connections := make(chan *connection, maxConnections)
	go s.accept(connections)
	orphans := s.findOrphans(connections)
	go func() {
		for c := range connections {
			s.events <- func() { s.handleConnection(c) }
		}
	}()
	return orphans, nil
}

func (s *Supervisor) findOrphans(connections <-chan *connection) (orphans []*process) {
	alive := slices.DeleteFunc(slices.Clone(s.file.Running), func(r handoff.RunningProcess) bool {
		return r.Started == 0 || startTicksOf(r.PID) != r.Started
	})
	timeout := time.After(adoptionTimeout)
	for len(orphans) < len(alive) {
		select {
		case c := <-connections:
			if c.message.Kind != handoff.KindHello {
				c.conn.Close() // a tool; it retries
				continue
			}
			s.adoptSockets(c.sockets)
			if p := s.newOrphan(c); p != nil {
				orphans = append(orphans, p)
			}
		case <-timeout:
			s.killUnconnected(alive, orphans)
			return orphans
		}
	}
	return orphans
}

// adoptSockets keeps those listening sockets of an orphan that the supervisor does not
// hold yet, and closes the others.
func (s *Supervisor) adoptSockets(sockets map[string]*os.File) {
	for name, f := range sockets {
		if s.sockets[name] != nil {
			f.Close()
		} else {
			s.sockets[name] = f
		}
	}
}

// newOrphan returns the process that has connected as an orphan. It commands the process
// to end and returns nil when the PID is not the peer's or the generation is unknown.
func (s *Supervisor) newOrphan(c *connection) *process {
	pid, pidErr := c.conn.PeerPID()
	manifest, err := s.readManifest(c.message.Generation)
	if pidErr != nil || err != nil || pid != c.message.PID {
		s.log.WithFields(logrus.Fields{"generation": c.message.Generation, "pid": c.message.PID}).WithError(err).
			Warn("supervisor: unknown process connected, it is commanded to end")
		c.reject()
		return nil
	}
	p := &process{
		manifest: manifest, pid: pid, startTicks: startTicksOf(pid), conn: c.conn, helloReceived: true,
		agentState: c.message.AgentState, wasSettled: c.message.WasSettled, lastMessageAt: time.Now(), seed: newSeed(),
	}
	go s.receive(p, p.conn)
	return p
}

// killUnconnected kills the processes that are alive and have not connected.
func (s *Supervisor) killUnconnected(alive []handoff.RunningProcess, orphans []*process) {
	for _, r := range alive {
		connected := slices.ContainsFunc(orphans, func(p *process) bool { return p.pid == r.PID })
		if connected || startTicksOf(r.PID) != r.Started {
			continue
		}
		s.log.WithFields(logrus.Fields{"generation": r.Generation, "pid": r.PID}).
			Error("supervisor: process of an earlier supervisor does not connect, it is killed")
		killProcess(r.PID, r.Started)
	}
}

// adopt takes over the processes that outlived an earlier supervisor, and numbers the
// next generation above all of theirs.
func (s *Supervisor) adopt(processes []*process) {
	orphans := make([]upgrade.Orphan, len(processes))
	for i, p := range processes {
		orphans[i] = upgrade.Orphan{
			Generation: p.manifest.Generation, State: p.agentState, Settled: p.wasSettled,
		}
	}
	for i, disposition := range upgrade.Dispositions(s.file.Settled.Generation, orphans) {
		p := processes[i]
		s.log.WithFields(logrus.Fields{
			"generation": p.manifest.Generation, "pid": p.pid, "agent_state": p.agentState.String(),
			"settled": p.wasSettled, "disposition": disposition.String(),
		}).Warn("supervisor: process of an earlier supervisor found")
		s.applyDisposition(p, disposition)
	}
	s.file.Next = max(s.file.Next, s.file.Settled.Generation+1)
	for _, p := range processes {
		s.file.Next = max(s.file.Next, p.manifest.Generation+1)
	}
}

func (s *Supervisor) applyDisposition(p *process, disposition upgrade.Disposition) {
	switch disposition {
	case upgrade.DispositionEnd:
		s.drain(p, &handoff.Message{Kind: handoff.KindEnd})
		return
	case upgrade.DispositionRetry:
		s.new = p
		s.machine = upgrade.NewAdoptedMachine(s.config.Timeouts, s.now(), true)
		s.change = &change{manifest: p.manifest}
	case upgrade.DispositionResume:
		p.send(&handoff.Message{Kind: handoff.KindResume, BudgetsMaybeSpent: true})
		s.adoptSettled(p)
	case upgrade.DispositionKeep:
		s.adoptSettled(p)
	}
	p.budget = s.soleBudget
}

// adoptSettled makes a process the old one, and its generation the settled one.
func (s *Supervisor) adoptSettled(p *process) {
	s.old = p
	s.machine = upgrade.NewAdoptedMachine(s.config.Timeouts, s.now(), false)
	if p.manifest.Generation != s.file.Settled.Generation {
		s.file.Previous = s.file.Settled
		s.file.Settled = p.manifest
	}
	if !p.wasSettled {
		p.send(&handoff.Message{Kind: handoff.KindSettle})
	}
}
