package upgradeagent

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgrade"
)

// Host is the router that the Agent runs in.
type Host interface {
	// Acquire takes what only one process owns, and accepts clients. State is what the
	// predecessor knew, nil at a cold start. With own it is what this process's Release
	// returned, and another one has served since. With budgetsMaybeSpent another process
	// may have spent this router's slow-start budgets meanwhile.
	Acquire(state *handoff.State, own, budgetsMaybeSpent bool) error
	// Release accepts nothing more, releases all of that, and returns what is known.
	Release() *handoff.State
	// SetLimits sets the process's part of the machine.
	SetLimits(upgrade.Resources)
	// SetOtherAttempts sets the attempts that other processes of this router have
	// outstanding, by endpoint.
	SetOtherAttempts(attempts map[string]policy.AttemptCounts)
	Reload()
	// Heartbeat returns a message with Requests, OutstandingAttempts, OpenRequests and
	// Activity.
	Heartbeat() *handoff.Message
	Ready() bool
	// SendToPeer sends a message to another router of the site. It may be lost.
	SendToPeer(to string, body []byte)
}

const (
	heartbeatInterval = 100 * time.Millisecond
	// lockInterval is how often the serving lock is tried while it is wanted.
	lockInterval = 3 * time.Millisecond
	// readyInterval is how often the host is asked until it is ready.
	readyInterval = 5 * time.Millisecond
)

// Agent is this process as its supervisor knows it.
type Agent struct {
	Number  uint64              // of the generation
	Sockets map[string]*os.File // inherited, by name: "listen" at least

	folder      string
	socketNames []string
	lock        *servingLock
	log         *logrus.Entry
	startedAt   time.Time
	machine     *upgrade.Agent

	conn          *handoff.Conn         // nil: the supervisor is lost
	received      chan *handoff.Message // of the supervisor; nil: the connection has ended
	peerMessages  chan *handoff.Message // of other routers, for the supervisor
	dialedAt      time.Time
	lastDialError string

	readyReported     bool
	state             *handoff.State // of the predecessor, or this process's own from before
	stateIsOwn        bool
	budgetsMaybeSpent bool
}

func (a *Agent) now() int64 { return time.Since(a.startedAt).Microseconds() }

// Run does what the supervisor commands, and returns nil when the process is to drain
// and end, or the context ends. A signal on term has the same effect. It returns an
// error when the host could not acquire what it was to own.
func (a *Agent) Run(ctx context.Context, host Host, term <-chan os.Signal, log *logrus.Entry) error {
	a.log = log.WithField("generation", a.Number)
	a.sendHello()
	go a.receive(ctx, a.conn)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	a.dialedAt = time.Now()
	for {
		var effects []upgrade.AgentEffect
		select {
		case <-ctx.Done():
			return nil
		case s := <-term:
			a.log.WithField("signal", s.String()).Info("shutting down")
			effects = a.machine.Handle(a.now(), upgrade.AgentInputEnd)
		case m := <-a.received:
			effects = a.handleMessage(host, m)
		case m := <-a.peerMessages:
			a.send(m)
			continue
		case <-heartbeat.C:
			a.sendHeartbeat(host)
			continue
		case <-wake.C:
			effects = a.tick(ctx, host)
		}
		draining, err := a.carryOut(host, effects)
		if draining || err != nil {
			return err
		}
		wake.Reset(a.wakeAfter())
	}
}

// tick does what time brings: the machine's deadline, the lock, readiness, a supervisor.
func (a *Agent) tick(ctx context.Context, host Host) []upgrade.AgentEffect {
	effects := a.machine.Tick(a.now())
	if effects == nil && a.machine.State.WantsLock() && a.lock.tryAcquire() {
		effects = a.machine.Handle(a.now(), upgrade.AgentInputLockAcquired)
	}
	if !a.readyReported && host.Ready() {
		a.readyReported = true
		a.report(handoff.KindReady)
	}
	a.reconnect(ctx)
	return effects
}

// wakeAfter is when tick is due.
func (a *Agent) wakeAfter() time.Duration {
	switch {
	case a.machine.State.WantsLock():
		return lockInterval
	case !a.readyReported:
		return readyInterval
	case a.machine.DueMicros() > 0:
		due := time.Duration(max(a.machine.DueMicros()-a.now(), 1)) * time.Microsecond
		return min(reconnectInterval, due)
	default:
		return reconnectInterval
	}
}

// inputOf are the kinds of messages that are inputs of the machine.
var inputOf = map[handoff.Kind]upgrade.AgentInput{
	handoff.KindServe:           upgrade.AgentInputServe,
	handoff.KindQuiesce:         upgrade.AgentInputQuiesce,
	handoff.KindSuccessorServes: upgrade.AgentInputSuccessorServes,
	handoff.KindSettle:          upgrade.AgentInputSettle,
	handoff.KindResume:          upgrade.AgentInputResume,
	handoff.KindEnd:             upgrade.AgentInputEnd,
}

// handleMessage takes a message of the supervisor; nil: the connection has ended.
func (a *Agent) handleMessage(host Host, message *handoff.Message) []upgrade.AgentEffect {
	if message == nil {
		a.supervisorLost()
		return a.machine.Handle(a.now(), upgrade.AgentInputSupervisorLost)
	}
	switch message.Kind {
	case handoff.KindReload:
		host.Reload()
	case handoff.KindLimits:
		host.SetLimits(message.Limits)
	case handoff.KindOtherAttempts:
		host.SetOtherAttempts(message.OutstandingAttempts)
	case handoff.KindPeerMessage:
		host.SendToPeer(message.To, message.Body)
	case handoff.KindServe, handoff.KindResume:
		if message.State != nil {
			a.state = message.State
			a.stateIsOwn = false
		}
		a.budgetsMaybeSpent = message.BudgetsMaybeSpent
	}
	input, known := inputOf[message.Kind]
	if !known {
		return nil
	}
	return a.machine.Handle(a.now(), input)
}

// carryOut does what the machine decides. It reports whether the process is to drain.
func (a *Agent) carryOut(host Host, effects []upgrade.AgentEffect) (draining bool, err error) {
	for _, effect := range effects {
		a.log.WithFields(logrus.Fields{
			"agent_state": a.machine.State.String(), "effect": effect.String(),
		}).Debug("upgrade: effect")
		switch effect {
		case upgrade.AgentEffectAccept:
			if err := a.accept(host); err != nil {
				return false, err
			}
		case upgrade.AgentEffectStop:
			a.stop(host)
		case upgrade.AgentEffectReleaseLock:
			a.lock.release()
		case upgrade.AgentEffectDrain:
			return true, nil
		case upgrade.AgentEffectReportReleased:
			a.send(&handoff.Message{Kind: handoff.KindReleased, Generation: a.Number, State: a.state})
		case upgrade.AgentEffectReportAccepting:
			a.report(handoff.KindAccepting)
		case upgrade.AgentEffectReportDenied:
			a.report(handoff.KindDenied)
		case upgrade.AgentEffectReportSettled:
			a.report(handoff.KindSettled)
		}
	}
	return false, nil
}

func (a *Agent) accept(host Host) error {
	if err := host.Acquire(a.state, a.stateIsOwn, a.budgetsMaybeSpent); err != nil {
		a.log.WithError(err).Error("upgrade: this generation can't serve")
		return err
	}
	a.log.WithField("agent_state", a.machine.State.String()).Info("upgrade: this generation serves")
	return nil
}

// stop releases what only one process owns, then the lock. Until this process serves
// again its successor may spend the router's slow-start budgets.
func (a *Agent) stop(host Host) {
	a.state = host.Release()
	a.stateIsOwn = true
	a.budgetsMaybeSpent = true
	a.lock.release()
	a.log.WithField("agent_state", a.machine.State.String()).Info("upgrade: this generation has stopped accepting")
}
