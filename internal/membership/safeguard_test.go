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

// Each safeguard is needed: a node with all of them passes its trial, a node without it fails.
func TestEverySafeguardIsNeeded(t *testing.T) {
	trials := map[string]func(t *testing.T, without string) error{
		"incarnation order": playLateUpdate,
		"refutation":        playPauses,
		"confirmations":     playLateAcknowledgements,
		"gossip bound":      playLastChange,
		"pause detection":   playPauseAfterProbe,
		"replay window":     playReplay,
	}
	for name, trial := range trials {
		t.Run(name, func(t *testing.T) {
			if err := trial(t, ""); err != nil {
				t.Errorf("with all safeguards: %v", err)
			}
			if err := trial(t, name); err == nil {
				t.Error("its absence is not noticed")
			} else {
				t.Log(err)
			}
		})
	}
}

// An update from before a member died comes late: the member stays dead.
func playLateUpdate(_ *testing.T, without string) error {
	settings := membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)}
	n := membership.New(settings.WithoutSafeguard(without), rand.New(rand.NewPCG(1, 1)), 1)
	from := membership.Update{
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
			Kind: membership.KindStateExchange, Sequence: uint64(i + 1), Sender: from, To: "me", ToInstance: n.Self().ID,
			Updates: []membership.Update{update},
		})
	}
	if s := n.State("x"); s != membership.StateDead {
		return fmt.Errorf("the dead member is %v", s)
	}
	return nil
}

// A process is paused for less than the suspicion timeout: nobody declares it dead.
func playPauses(_ *testing.T, without string) error {
	f := newFleet(12, 1, without, 0.05)
	converge(f, 30*second)
	deaths := countDeaths(f, func(*simfleet.Host) bool { return true })
	for range 5 {
		f.Pause(3)
		f.RunUntil(f.Now + second/2)
		f.Resume(3)
		f.RunUntil(f.Now + 5*second)
	}
	if *deaths > 0 {
		return fmt.Errorf("a live router was declared dead %d times", *deaths)
	}
	return nil
}

// countDeaths counts how often the hosts that are observed declare a member dead.
func countDeaths(f *simfleet.Fleet, observed func(*simfleet.Host) bool) *int {
	deaths := new(int)
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.StateDead && observed(h) {
			*deaths++
		}
	}
	return deaths
}

// One node hears all acknowledgements late: alone it must not declare healthy members dead.
func playLateAcknowledgements(_ *testing.T, without string) error {
	f := newFleet(12, 1, without, 0)
	converge(f, 30*second)
	deaths := countDeaths(f, func(h *simfleet.Host) bool { return h.ID == 4 })
	f.Network.AddFault(&netsim.Fault{To: []int{4}, Delay: 1300 * millisecond})
	f.RunUntil(f.Now + 10*second)
	if *deaths > 0 {
		return fmt.Errorf("live routers were declared dead %d times", *deaths)
	}
	return nil
}

// Ten seconds after the last change no updates are sent.
func playLastChange(_ *testing.T, without string) error {
	f := newFleet(12, 1, without, 0)
	converge(f, 30*second)
	f.Kill(11)
	f.RunUntil(f.Now + 10*second)
	from := f.Hosts[0].SentBytes
	f.RunUntil(f.Now + 5*second)
	if rate := (f.Hosts[0].SentBytes - from) / 5; rate > 2000 {
		return fmt.Errorf("%d bytes a second without a change", rate)
	}
	return nil
}

// A process is paused just after it has sent a probe: no member has failed because it did not hear the
// acknowledgement.
func playPauseAfterProbe(_ *testing.T, without string) error {
	f := newFleet(12, 1, without, 0)
	converge(f, 30*second)
	for range 10 {
		heal := f.Network.AddFault(&netsim.Fault{From: []int{11}, Bidirectional: true, Partitioned: true})
		f.RunUntil(f.Now + 170*millisecond)
		f.Pause(11)
		f.RunUntil(f.Now + second)
		heal()
		f.RunUntil(f.Now + 20*second)
		if suspects := resumeCountingSuspects(f, 11); suspects > 0 {
			return fmt.Errorf("a node suspects %d members as it resumes", suspects)
		}
		if s := f.Hosts[11].Detector.(*membership.Node).Connectivity(); s.Majority {
			return fmt.Errorf("a node counts on a majority as it resumes: %+v", s)
		}
		if _, why := converge(f, 20*second); why != "" {
			return fmt.Errorf("no agreement after that: %s", why)
		}
	}
	return nil
}

// resumeCountingSuspects resumes a process, and returns how many members it suspects at once.
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

// Messages of a dead member are replayed: they don't make it alive.
func playReplay(t *testing.T, without string) error {
	f := newFleet(6, 1, without, 0)
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

// recordPings collects the pings that a host sends.
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

// deliverCopy hands a copy of a message to the host that it is for, unless that is the last one.
func deliverCopy(f *simfleet.Fleet, msg *membership.Message) {
	for _, h := range f.Hosts[:len(f.Hosts)-1] {
		if h.Name == msg.To {
			replayed := *msg
			h.Detector.Receive(f.Now, netip.AddrPort{}, &replayed)
		}
	}
}
