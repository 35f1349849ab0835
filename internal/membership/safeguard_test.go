package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
	"quilldoor/internal/simfleet"
)

// Each safeguard is needed: its scenario passes with all safeguards, and fails if this one is turned off.
func TestEverySafeguardIsNeeded(t *testing.T) {
	scenarios := map[string]func(t *testing.T, disabled string) error{
		"incarnation order": runLateUpdate,
		"refutation":        runShortPauses,
		"confirmations":     runLateAcknowledgements,
		"gossip bound":      runQuietPeriod,
		"pause detection":   runPauseAfterProbe,
		"replay window":     runReplay,
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			if err := scenario(t, ""); err != nil {
				t.Errorf("with all safeguards: %v", err)
			}
			if err := scenario(t, name); err == nil {
				t.Error("passes with the safeguard turned off")
			} else {
				t.Logf("with the safeguard turned off: %v", err)
			}
		})
	}
}

// An update from before a member's death arrives late: the member stays dead.
func runLateUpdate(_ *testing.T, disabled string) error {
	settings := membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)}
	n := membership.New(settings.WithoutSafeguard(disabled), rand.New(rand.NewPCG(1, 1)), 1)
	sender := membership.Update{
		Name: "n1", ID: membership.InstanceID{Epoch: 9, Nonce: 9}, Incarnation: 1,
		State: membership.StateAlive, Addr: simfleet.Addr(1),
	}
	for i, update := range []membership.Update{
		{Incarnation: 5, State: membership.StateDead},
		{Incarnation: 3, State: membership.StateAlive},
		{Incarnation: 5, State: membership.StateAlive},
	} {
		update.Name, update.ID = "x", membership.InstanceID{Epoch: 2, Nonce: 2}
		n.Receive(second, netip.AddrPort{}, &membership.Message{
			Kind: membership.KindStateExchange, Sequence: uint64(i + 1), Sender: sender, To: "me", ToInstance: n.Self().ID,
			Updates: []membership.Update{update},
		})
	}
	if s := n.State("x"); s != membership.StateDead {
		return fmt.Errorf("the dead member is %v", s)
	}
	return nil
}

// A process is paused several times, for less than the suspicion timeout: no member declares another one dead.
func runShortPauses(_ *testing.T, disabled string) error {
	f := newFleet(12, 1, disabled, 0.05)
	converge(f, 30*second)
	deaths := countDeaths(f, func(*simfleet.Host) bool { return true })
	for range 5 {
		f.Pause(3)
		f.RunUntil(f.Now + second/2)
		f.Resume(3)
		f.RunUntil(f.Now + 5*second)
	}
	if *deaths > 0 {
		return fmt.Errorf("running routers were declared dead %d times", *deaths)
	}
	return nil
}

// countDeaths counts how often the observed hosts declare a member dead.
func countDeaths(f *simfleet.Fleet, observed func(*simfleet.Host) bool) *int {
	deaths := new(int)
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.StateDead && observed(h) {
			*deaths++
		}
	}
	return deaths
}

// One node receives all acknowledgements late. Its suspicions alone must not make it declare healthy members dead.
func runLateAcknowledgements(_ *testing.T, disabled string) error {
	f := newFleet(12, 1, disabled, 0)
	converge(f, 30*second)
	deaths := countDeaths(f, func(h *simfleet.Host) bool { return h.ID == 4 })
	f.Network.AddFault(&netsim.Fault{To: []int{4}, Delay: 1300 * millisecond})
	f.RunUntil(f.Now + 10*second)
	if *deaths > 0 {
		return fmt.Errorf("running routers were declared dead %d times", *deaths)
	}
	return nil
}

// Ten seconds after the last change a node sends no updates: its rate is at most 2000 bytes a second.
func runQuietPeriod(_ *testing.T, disabled string) error {
	f := newFleet(12, 1, disabled, 0)
	converge(f, 30*second)
	f.Kill(11)
	f.RunUntil(f.Now + 10*second)
	sentBefore := f.Hosts[0].SentBytes
	f.RunUntil(f.Now + 5*second)
	if rate := (f.Hosts[0].SentBytes - sentBefore) / 5; rate > 2000 {
		return fmt.Errorf("%s sends %d bytes a second without a change", f.Hosts[0].Name, rate)
	}
	return nil
}

// A process is paused while it waits for acknowledgements of its probes. When it resumes it suspects no member because
// of the acknowledgements that it did not receive, and reports no majority.
func runPauseAfterProbe(_ *testing.T, disabled string) error {
	f := newFleet(12, 1, disabled, 0)
	converge(f, 30*second)
	for range 10 {
		heal := f.Network.AddFault(&netsim.Fault{From: []int{11}, Bidirectional: true, Partitioned: true})
		f.RunUntil(f.Now + 170*millisecond)
		f.Pause(11)
		f.RunUntil(f.Now + second)
		heal()
		f.RunUntil(f.Now + 20*second)
		if suspects := resumeCountingSuspects(f, 11); suspects > 0 {
			return fmt.Errorf("%s suspects %d members as it resumes", f.Hosts[11].Name, suspects)
		}
		if s := f.Hosts[11].Detector.(*membership.Node).Connectivity(); s.Majority {
			return fmt.Errorf("%s reports a majority as it resumes: %+v", f.Hosts[11].Name, s)
		}
		if _, reason := converge(f, 20*second); reason != "" {
			return fmt.Errorf("views have not converged after the pause: %s", reason)
		}
	}
	return nil
}

// resumeCountingSuspects resumes a process, and returns how many members it suspects within 10 ms.
func resumeCountingSuspects(f *simfleet.Fleet, host int) (suspects int) {
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		if h.ID == host && c.To == membership.StateSuspect {
			suspects++
		}
	}
	defer func() { f.OnChange = nil }()
	f.Resume(host)
	f.RunUntil(f.Now + 10*millisecond)
	return suspects
}

// Messages of a dead member are replayed: the member stays dead.
func runReplay(t *testing.T, disabled string) error {
	f := newFleet(6, 1, disabled, 0)
	sent := recordPings(t, f, 5)
	converge(f, 30*second)
	f.RunUntil(f.Now + 20*second)
	f.Kill(5)
	for until := f.Now + 10*second; f.Now < until; f.RunUntil(f.Now + 100*millisecond) {
		for _, msg := range (*sent)[len(*sent)-60:] {
			deliverCopy(f, msg)
		}
	}
	for _, h := range f.Hosts[:5] {
		if s := h.Detector.State(simfleet.Name(5)); s != membership.StateDead {
			return fmt.Errorf("%s holds the dead member %v", h.Name, s)
		}
	}
	return nil
}

// recordPings records copies of the pings that a host sends.
func recordPings(t *testing.T, f *simfleet.Fleet, host int) *[]*membership.Message {
	t.Helper()
	sent := new([]*membership.Message)
	f.BeforeSend = func(h *simfleet.Host, msg *membership.Message) {
		if h.ID != host || msg.Kind != membership.KindPing {
			return
		}
		encoded, _ := cbor.Marshal(msg)
		recorded := new(membership.Message)
		if err := cbor.Unmarshal(encoded, recorded); err != nil {
			t.Fatal(err)
		}
		*sent = append(*sent, recorded)
	}
	return sent
}

// deliverCopy delivers a copy of a message to its receiver, unless that is the last host, which sent it.
func deliverCopy(f *simfleet.Fleet, msg *membership.Message) {
	for _, h := range f.Hosts[:len(f.Hosts)-1] {
		if h.Name == msg.To {
			replayed := *msg
			h.Detector.Receive(f.Now, netip.AddrPort{}, &replayed)
		}
	}
}
