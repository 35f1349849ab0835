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
	// Acquire acquires the resources that only one process of the router may own, and
	// accepts clients. The state is the predecessor's, or nil at a cold start. If stateIsOwn
	// is set, it is the state that this process's Release returned, and another process may
	// have served since. If budgetsMaybeSpent is set, another process may already have spent
	// this router's slow-start budgets.
	Acquire(state *handoff.State, stateIsOwn, budgetsMaybeSpent bool) error
	// Release stops accepting clients, releases the resources that Acquire acquired, and
	// returns the state for a successor.
	Release() *handoff.State
	// SetLimits sets the process's share of the machine.
	SetLimits(upgrade.Resources)
	// SetOtherAttempts sets the outstanding attempts of this router's other processes, by
	// endpoint.
	SetOtherAttempts(attempts map[string]policy.AttemptCounts)
	// Reload reads the settings again.
	Reload()
	// Heartbeat returns a message with Requests, OutstandingAttempts, OpenRequests and
	// Activity.
	Heartbeat() *handoff.Message
	// Ready reports whether the router is ready to serve.
	Ready() bool
	// SendToPeer sends a message to another router of the site. The message may be lost.
	SendToPeer(to string, body []byte)
}

const (
	heartbeatInterval = 100 * time.Millisecond
	// lockInterval is the interval between attempts to acquire the serving lock.
	lockInterval = 3 * time.Millisecond
	// readyInterval is the interval between checks whether the host is ready.
	readyInterval = 5 * time.Millisecond
)

// Agent connects a router process to its supervisor, and carries out what its state
// machine, an upgrade.Agent, decides.
type Agent struct {
	Generation uint64              // number of the generation that the process runs
	Sockets    map[string]*os.File // inherited, by name: "listen" at least

	folder      string   // the supervisor's
	socketNames []string // keys of Sockets, in the order of their descriptors
	lock        *servingLock
	log         *logrus.Entry
	startedAt   time.Time // zero of the state machine's clock
	machine     *upgrade.Agent

	conn               *handoff.Conn         // nil: not connected to a supervisor
	supervisorMessages chan *handoff.Message // from the supervisor; nil: the connection has ended
	peerMessages       chan *handoff.Message // from other routers, for the supervisor
	dialedAt           time.Time             // of the last attempt to connect to a supervisor
	lastDialError      string                // text of the last logged one

	readyReported bool

	// Arguments of the next Host.Acquire.
	state             *handoff.State
	stateIsOwn        bool
	budgetsMaybeSpent bool
}

// now returns the time on the state machine's clock, in microseconds.
func (a *Agent) now() int64 { return time.Since(a.startedAt).Microseconds() }

// Run carries out the supervisor's commands. It returns nil when the process is to drain
// and end, because of a command, the loss of the supervisor or a signal on term, and when
// the context ends. It returns the error of a failed Host.Acquire.
func (a *Agent) Run(ctx context.Context, host Host, term <-chan os.Signal, log *logrus.Entry) error {
	a.log = log.WithField("generation", a.Generation)
	a.sendHello()
	go a.receive(ctx, a.conn)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	tickTimer := time.NewTimer(0)
	defer tickTimer.Stop()
	a.dialedAt = time.Now()
	for {
		var effects []upgrade.AgentEffect
		select {
		case <-ctx.Done():
			return nil
		case s := <-term:
			a.log.WithField("signal", s.String()).Info("shutting down")
			effects = a.machine.Handle(a.now(), upgrade.AgentInputEnd)
		case message := <-a.supervisorMessages:
			effects = a.handleMessage(host, message)
		case message := <-a.peerMessages:
			a.send(message)
			continue
		case <-heartbeat.C:
			a.sendHeartbeat(host)
			continue
		case <-tickTimer.C:
			effects = a.tick(ctx, host)
		}
		draining, err := a.carryOut(host, effects)
		if draining || err != nil {
			return err
		}
		tickTimer.Reset(a.tickDelay())
	}
}

// tick checks all that depends on time: the state machine's deadline, the serving lock,
// the host's readiness and the connection to a supervisor.
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

// tickDelay returns the time until tick is due.
func (a *Agent) tickDelay() time.Duration {
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

// inputOf maps the kinds of messages that are inputs of the state machine to these inputs.
var inputOf = map[handoff.Kind]upgrade.AgentInput{
	handoff.KindServe:           upgrade.AgentInputServe,
	handoff.KindQuiesce:         upgrade.AgentInputQuiesce,
	handoff.KindSuccessorServes: upgrade.AgentInputSuccessorServes,
	handoff.KindSettle:          upgrade.AgentInputSettle,
	handoff.KindResume:          upgrade.AgentInputResume,
	handoff.KindEnd:             upgrade.AgentInputEnd,
}

// handleMessage handles a message from the supervisor, or nil when the connection has
// ended.
func (a *Agent) handleMessage(host Host, message *handoff.Message) []upgrade.AgentEffect {
	if message == nil {
		a.disconnect()
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
	input, isInput := inputOf[message.Kind]
	if !isInput {
		return nil
	}
	return a.machine.Handle(a.now(), input)
}

// carryOut carries out the state machine's effects in order. It reports whether the
// process is to drain.
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
			a.send(&handoff.Message{Kind: handoff.KindReleased, Generation: a.Generation, State: a.state})
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

// stop releases the resources that only one process may own, then the serving lock. From
// then until this process serves again, its successor may spend the router's slow-start
// budgets.
func (a *Agent) stop(host Host) {
	a.state = host.Release()
	a.stateIsOwn = true
	a.budgetsMaybeSpent = true
	a.lock.release()
	a.log.WithField("agent_state", a.machine.State.String()).Info("upgrade: this generation has stopped accepting")
}
