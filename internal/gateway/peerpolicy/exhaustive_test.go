package peerpolicy

import (
	"fmt"
	"testing"
)

const modelPeer, modelRequest = "a", "t"

// peerProgress is the peer's progress with the request.
type peerProgress uint8

const (
	peerIdle peerProgress = iota // not received, or rejected before execution
	peerReceived
	peerExecuted
)

// forwardModel is a model of one forwarded request. The Controller of the forwarding site is
// under test; the connection, the peer and the client are modelled.
type forwardModel struct {
	controller      *Controller
	effect          Effect
	requestInFlight bool
	answerInFlight  *PeerAnswer // nil: none
	connected       bool
	peer            peerProgress
	executions      int
	answers         []Outcome // received by the client
	now             int64
	forwardTried    bool
	clientGone      bool
	reconnects      int
}

func newForwardModel(effect Effect) *forwardModel {
	m := &forwardModel{controller: newController(modelPeer), effect: effect, connected: true, now: start}
	makeHealthy(m.controller, modelPeer, 9)
	return m
}

func (m *forwardModel) forward() bool {
	_, reason := m.controller.Forward(m.now, &Request{
		RequestID: modelRequest, Effect: m.effect, NeverRan: true, Deadline: m.now + second,
	})
	return reason == ReasonOK
}

// answerExecuted makes the peer answer with an outcome, which is possible once it has executed
// the request.
func (m *forwardModel) answerExecuted(outcome Outcome) (possible bool) {
	if m.peer != peerExecuted || !m.connected || m.answerInFlight != nil {
		return false
	}
	m.answerInFlight = &PeerAnswer{Outcome: outcome}
	return true
}

// forwardMoves are the events of the model. Each reports whether it was possible in the state
// that the model was in.
var forwardMoves = []struct {
	name  string
	apply func(m *forwardModel) (possible bool)
}{
	{"forward", func(m *forwardModel) bool {
		if m.forwardTried {
			return false
		}
		m.forwardTried = true
		return m.forward()
	}},
	{"send", func(m *forwardModel) bool {
		if !m.connected || m.requestInFlight || m.peer != peerIdle || !m.controller.MarkSent(modelRequest) {
			return false
		}
		m.requestInFlight = true
		return true
	}},
	{"forward and send again", func(m *forwardModel) bool { // the controller must refuse it
		if !m.connected || m.requestInFlight || !m.controller.IsForwarded(modelRequest) || m.peer == peerIdle {
			return false
		}
		if m.forward() {
			m.requestInFlight = true
			return true
		}
		return false
	}},
	{"request arrives", func(m *forwardModel) bool {
		if !m.requestInFlight {
			return false
		}
		m.requestInFlight, m.peer = false, peerReceived
		return true
	}},
	{"execute", func(m *forwardModel) bool { // also after the request was given up, as by a peer that stalled
		if m.peer != peerReceived {
			return false
		}
		m.peer = peerExecuted
		m.executions++
		return true
	}},
	{"reject before execution", func(m *forwardModel) bool {
		if m.peer != peerReceived || !m.connected || m.answerInFlight != nil {
			return false
		}
		m.peer, m.answerInFlight = peerIdle, &PeerAnswer{Outcome: OutcomeRejected, NeverRan: true}
		return true
	}},
	{"complete", func(m *forwardModel) bool { return m.answerExecuted(OutcomeCompleted) }},
	{"abort", func(m *forwardModel) bool { return m.answerExecuted(OutcomeAborted) }},
	// An idempotent request may be rejected although it was executed.
	{"reject after execution", func(m *forwardModel) bool { return m.answerExecuted(OutcomeRejected) }},
	{"answer arrives", func(m *forwardModel) bool {
		if m.answerInFlight == nil {
			return false
		}
		m.controller.HandleAnswer(m.now, modelPeer, modelRequest, *m.answerInFlight)
		m.answerInFlight = nil
		return true
	}},
	{"answer arrives, with a duplicate to follow", func(m *forwardModel) bool {
		if m.answerInFlight == nil {
			return false
		}
		m.controller.HandleAnswer(m.now, modelPeer, modelRequest, *m.answerInFlight)
		return true
	}},
	{"disconnect", func(m *forwardModel) bool { // a request in flight may still arrive, or be lost
		if !m.connected {
			return false
		}
		m.connected, m.answerInFlight = false, nil
		m.controller.Disconnected(modelPeer)
		return true
	}},
	{"request is lost", func(m *forwardModel) bool {
		if m.connected || !m.requestInFlight {
			return false
		}
		m.requestInFlight = false
		return true
	}},
	{"reconnect", func(m *forwardModel) bool {
		if m.connected || m.reconnects > 1 {
			return false
		}
		m.reconnects++
		m.connected = true
		m.controller.Connected(m.now, modelPeer, uint64(1+m.reconnects))
		m.controller.Heartbeat(m.now, modelPeer, 9, false, millisecond)
		return true
	}},
	{"deadline passes", func(m *forwardModel) bool {
		if m.now > start+second {
			return false
		}
		m.now += 2 * second
		m.controller.Heartbeat(m.now, modelPeer, 9, false, millisecond)
		m.controller.Tick(m.now)
		return true
	}},
	{"client disconnects", func(m *forwardModel) bool {
		if m.clientGone || !m.controller.IsForwarded(modelRequest) {
			return false
		}
		m.clientGone = true
		m.controller.ClientDisconnected(modelRequest)
		return true
	}},
}

// step makes a move, and then checks the invariants.
func (m *forwardModel) step(move int) (possible bool, violation string) {
	possible = forwardMoves[move].apply(m)
	m.collectAnswers()
	switch {
	case len(m.answers) > 1:
		violation = "more than one answer"
	case m.clientGone && len(m.answers) > 0:
		violation = "an answer to a client that had disconnected"
	case m.effect != EffectIdempotent && m.executions > 1:
		violation = "a request that is not idempotent was executed more than once"
	case m.effect != EffectIdempotent && m.executions > 0 && len(m.answers) > 0 && m.answers[0] == OutcomeRejected:
		violation = "a request that is not idempotent was executed and rejected"
	}
	return possible, violation
}

// collectAnswers delivers the controller's answers to the client.
func (m *forwardModel) collectAnswers() {
	for _, action := range m.controller.Actions() {
		if action.Kind == ActionAnswer {
			m.answers = append(m.answers, action.Outcome)
		}
	}
}

// passAllDeadlines advances the time beyond the deadline of any request.
func (m *forwardModel) passAllDeadlines() {
	m.now += 10 * second
	if m.controller.IsForwarded(modelRequest) {
		m.controller.Tick(m.now)
		m.collectAnswers()
	}
}

// fingerprint identifies a state of the model: states with equal fingerprints have the same
// possible continuations.
func (m *forwardModel) fingerprint() string {
	state := forwardState(0)
	if request := m.controller.forwarded[modelRequest]; request != nil {
		state = request.state
	}
	return fmt.Sprint(m.effect, m.requestInFlight, m.answerInFlight, m.connected, m.peer, m.executions, string(m.answers),
		m.now, m.forwardTried, m.clientGone, m.reconnects, state, m.controller.Peer(modelPeer).State)
}

// replay makes the moves of a path that is known to violate no invariant.
func replay(effect Effect, path []int) *forwardModel {
	m := newForwardModel(effect)
	for _, move := range path {
		m.step(move)
	}
	return m
}

func moveNames(path []int) (names []string) {
	for _, move := range path {
		names = append(names, forwardMoves[move].name)
	}
	return names
}

// Searches every order of the events of one request: no reachable state violates an invariant,
// and a request that is in flight at a peer ends with exactly one answer.
func TestOneOutcomeInEveryOrderOfEvents(t *testing.T) {
	for _, effect := range []Effect{EffectIdempotent, EffectIdempotencyKey, EffectUnsafe} {
		states, movesTried := searchForwardStates(t, effect)
		if states < 100 {
			t.Fatalf("effect %d: %d states reached, want 100 or more", effect, states)
		}
		t.Logf("effect %d: %d states, %d moves tried", effect, states, movesTried)
	}
}

// searchForwardStates makes every move in every reachable state, breadth first.
func searchForwardStates(t *testing.T, effect Effect) (states, movesTried int) {
	t.Helper()
	seen := map[string]bool{}
	paths := [][]int{{}}
	for len(paths) > 0 {
		path := paths[0]
		paths = paths[1:]
		for move := range forwardMoves {
			m := replay(effect, path)
			next := append(path[:len(path):len(path)], move)
			possible, violation := m.step(move)
			if violation != "" {
				t.Fatalf("effect %d: %s after %q", effect, violation, moveNames(next))
			}
			movesTried++
			fingerprint := m.fingerprint()
			if !possible || seen[fingerprint] {
				continue
			}
			seen[fingerprint] = true
			paths = append(paths, next)
			wasForwarded := m.controller.IsForwarded(modelRequest)
			m.passAllDeadlines()
			if wasForwarded && (m.controller.IsForwarded(modelRequest) || len(m.answers) != 1) {
				t.Fatalf("effect %d: %d answers after the deadline, want 1, after %q", effect, len(m.answers), moveNames(next))
			}
		}
	}
	return len(seen), movesTried
}
