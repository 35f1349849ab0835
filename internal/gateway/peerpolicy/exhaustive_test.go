package peerpolicy

import (
	"fmt"
	"testing"
)

const modelPeer, modelRequest = "a", "t"

// peerProgress is how far the peer is with the request.
type peerProgress uint8

const (
	peerIdle peerProgress = iota
	peerReceived
	peerExecuted
)

// forwardModel is one request with all that can happen to it. The Controller of the site
// that forwards it is under test; the connection and the peer are modelled.
type forwardModel struct {
	controller      *Controller
	effect          Effect
	requestInFlight bool
	answerInFlight  *PeerAnswer
	connected       bool
	peer            peerProgress
	executions      int
	answers         []Outcome // that the client got
	now             int64
	forwarded       bool
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

// answerExecuted lets the peer answer once it has executed the request.
func (m *forwardModel) answerExecuted(outcome Outcome) (possible bool) {
	if m.peer != peerExecuted || !m.connected || m.answerInFlight != nil {
		return false
	}
	m.answerInFlight = &PeerAnswer{Outcome: outcome}
	return true
}

// forwardMoves are what can happen; each tells whether it was possible.
var forwardMoves = []struct {
	name string
	do   func(m *forwardModel) (possible bool)
}{
	{"forward", func(m *forwardModel) bool {
		if m.forwarded {
			return false
		}
		m.forwarded = true
		return m.forward()
	}},
	{"send", func(m *forwardModel) bool {
		if !m.connected || m.requestInFlight || m.peer != peerIdle || !m.controller.MarkSent(modelRequest) {
			return false
		}
		m.requestInFlight = true
		return true
	}},
	{"forward and send again", func(m *forwardModel) bool { // which the controller must refuse
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
	{"execute", func(m *forwardModel) bool { // also once nobody waits for it: a peer that wakes up late
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
	{"reject after execution", func(m *forwardModel) bool { return m.answerExecuted(OutcomeRejected) }}, // an idempotent one may be rejected though it was executed
	{"answer arrives", func(m *forwardModel) bool {
		if m.answerInFlight == nil {
			return false
		}
		m.controller.HandleAnswer(m.now, modelPeer, modelRequest, *m.answerInFlight)
		m.answerInFlight = nil
		return true
	}},
	{"answer arrives, and will again", func(m *forwardModel) bool {
		if m.answerInFlight == nil {
			return false
		}
		m.controller.HandleAnswer(m.now, modelPeer, modelRequest, *m.answerInFlight)
		return true
	}},
	{"disconnect", func(m *forwardModel) bool { // a request that is in flight may still arrive, or not
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
	{"client leaves", func(m *forwardModel) bool {
		if m.clientGone || !m.controller.IsForwarded(modelRequest) {
			return false
		}
		m.clientGone = true
		m.controller.ClientGone(modelRequest)
		return true
	}},
}

// step makes a move and checks the invariants at once.
func (m *forwardModel) step(move int) (possible bool, violation string) {
	possible = forwardMoves[move].do(m)
	m.takeAnswers()
	switch {
	case len(m.answers) > 1:
		violation = "two answers"
	case m.clientGone && len(m.answers) > 0:
		violation = "an answer to a client that had left"
	case m.effect != EffectIdempotent && m.executions > 1:
		violation = "executed twice"
	case m.effect != EffectIdempotent && m.executions > 0 && len(m.answers) > 0 && m.answers[0] == OutcomeRejected:
		violation = "rejected, and executed"
	}
	return possible, violation
}

func (m *forwardModel) takeAnswers() {
	for _, action := range m.controller.Actions() {
		if action.Kind == ActionAnswer {
			m.answers = append(m.answers, action.Outcome)
		}
	}
}

// runOutOfTime passes more time than any request has.
func (m *forwardModel) runOutOfTime() {
	m.now += 10 * second
	if m.controller.IsForwarded(modelRequest) {
		m.controller.Tick(m.now)
		m.takeAnswers()
	}
}

// fingerprint is equal for states from which the same can follow.
func (m *forwardModel) fingerprint() string {
	state := forwardState(0)
	if request := m.controller.forwarded[modelRequest]; request != nil {
		state = request.state
	}
	return fmt.Sprint(m.effect, m.requestInFlight, m.answerInFlight, m.connected, m.peer, m.executions, string(m.answers),
		m.now, m.forwarded, m.clientGone, m.reconnects, state, m.controller.Peer(modelPeer).State)
}

// replay makes the moves of a path, which are known to violate nothing.
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

// Every order of what can happen to one request, from the first move to the last: no
// state that can be reached violates an invariant, and each ends with one outcome.
func TestOneOutcomeInEveryOrderOfEvents(t *testing.T) {
	for _, effect := range []Effect{EffectIdempotent, EffectIdempotencyKey, EffectUnsafe} {
		states, tried := searchForwardStates(t, effect)
		if states < 100 {
			t.Fatalf("%d states: too few to tell anything", states)
		}
		t.Logf("effect %d: %d states, %d moves tried", effect, states, tried)
	}
}

// searchForwardStates makes every move in every state that can be reached, breadth first.
func searchForwardStates(t *testing.T, effect Effect) (states, tried int) {
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
			tried++
			fingerprint := m.fingerprint()
			if !possible || seen[fingerprint] {
				continue
			}
			seen[fingerprint] = true
			paths = append(paths, next)
			wasForwarded := m.controller.IsForwarded(modelRequest)
			m.runOutOfTime()
			if wasForwarded && (m.controller.IsForwarded(modelRequest) || len(m.answers) != 1) {
				t.Fatalf("effect %d: %d answers at the end of time", effect, len(m.answers))
			}
		}
	}
	return len(seen), tried
}
