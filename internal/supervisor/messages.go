package supervisor

import (
	"slices"
	"time"

	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgrade"
)

// receive passes a process's messages to the loop until the connection ends. That does not
// mean that the process has ended: it may reconnect. Its end is detected by wait or
// sampleUsage.
func (s *Supervisor) receive(p *process, conn *handoff.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		s.events <- func() { s.handleMessage(p, m) }
	}
}

// handleMessage handles a message of a process. Of a draining process only hello,
// heartbeats and peer messages have an effect.
func (s *Supervisor) handleMessage(p *process, message *handoff.Message) {
	p.lastMessageAt = time.Now()
	isOld, isNew := p == s.old, p == s.new
	switch message.Kind {
	case handoff.KindPeerMessage:
		s.handleRolloutMessage(message)
	case handoff.KindHello:
		s.handleHello(p, message)
	case handoff.KindReady:
		s.feedFrom(p, upgrade.InputOldReady, upgrade.InputNewReady)
	case handoff.KindReleased:
		if isOld {
			s.releasedState = message.State
			s.feed(upgrade.InputReleased)
		}
	case handoff.KindAccepting:
		if isOld && !s.crashedAt.IsZero() {
			s.lastCrashMS = time.Since(s.crashedAt).Milliseconds()
			s.crashedAt = time.Time{}
		}
		s.feedFrom(p, upgrade.InputOldServes, upgrade.InputNewServes)
	case handoff.KindDenied:
		if isNew {
			s.recordReason("the new generation did not acquire the serving lock")
			s.feed(upgrade.InputDenied)
		}
	case handoff.KindSettled:
		if isNew {
			s.feed(upgrade.InputSettled)
		}
	case handoff.KindHeartbeat:
		s.handleHeartbeat(p, message)
	}
}

// feedFrom feeds ifOld for the old process, ifNew for the new one, and nothing for others.
func (s *Supervisor) feedFrom(p *process, ifOld, ifNew upgrade.Input) {
	switch p {
	case s.old:
		s.feed(ifOld)
	case s.new:
		s.feed(ifNew)
	}
}

func (s *Supervisor) handleHello(p *process, m *handoff.Message) {
	p.helloReceived = true
	if m.Format < 1 {
		s.recordReason("generation %d: format of its hello is %d, at least 1 is required", p.manifest.Generation, m.Format)
		p.kill()
	}
}

func (s *Supervisor) handleHeartbeat(p *process, m *handoff.Message) {
	p.requests = m.Requests
	p.outstandingAttempts = m.OutstandingAttempts
	p.agentState = m.AgentState
	s.observeActivity(p, m)
	for _, other := range s.processes() {
		if other != p {
			s.sendOtherAttempts(other)
		}
	}
	if p == s.old && s.new == nil {
		s.trial.ObserveOld(s.now(), p.requests)
	}
	if p == s.new && s.machine.State == upgrade.StateOnTrial {
		if err := s.trial.ObserveNew(p.requests); err != nil {
			s.recordReason("the new generation does worse: %v", err)
			s.feed(upgrade.InputTrialFailed)
		}
	}
}

// sendOtherAttempts sends a process the outstanding attempts of all others, which count
// toward its concurrency limits. A process that can no longer serve gets none.
func (s *Supervisor) sendOtherAttempts(p *process) {
	mayServe := p.agentState.Accepts() || p.agentState == upgrade.AgentStandby || p.agentState == upgrade.AgentQuiesced
	if !mayServe {
		return
	}
	sum := map[string]policy.AttemptCounts{}
	for _, other := range s.processes() {
		if other == p {
			continue
		}
		for endpoint, attempts := range other.outstandingAttempts {
			total := sum[endpoint]
			for i := range attempts {
				total[i] += attempts[i]
			}
			sum[endpoint] = total
		}
	}
	p.send(&handoff.Message{Kind: handoff.KindOtherAttempts, OutstandingAttempts: sum})
}

// processEnded handles the end of a process. Later calls for the same process do nothing.
func (s *Supervisor) processEnded(p *process) {
	if p.ended {
		return
	}
	p.ended = true
	if p.conn != nil {
		p.conn.Close()
	}
	s.draining = slices.DeleteFunc(s.draining, func(other *process) bool { return other == p })
	if s.observer != nil {
		s.observer.processEnded(p)
	}
	switch p {
	case s.old:
		s.old = nil
		s.crashedAt = time.Now()
		s.recordReason("the settled generation has ended")
		s.feed(upgrade.InputOldEnded)
	case s.new:
		s.new = nil
		s.crashedAt = time.Now()
		s.recordReason("the new generation has ended")
		s.feed(upgrade.InputNewEnded)
	}
	for _, other := range s.processes() {
		s.sendOtherAttempts(other)
	}
}
