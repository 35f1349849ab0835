package membership

import "net/netip"

// Durations in microseconds.
const (
	millisecond = 1000
	second      = 1000 * millisecond
)

// Defaults of Settings.
const (
	defaultProbeInterval        = 100 * millisecond
	defaultMaxMessageBytes      = 1200
	defaultGossipBytesPerSecond = 1500
)

// Seed is a member that the operator's settings name. Its address takes precedence over the one that gossip carries.
type Seed struct {
	Name string
	Addr netip.AddrPort
}

// Settings configures a Node. The zero value of a field that has a default selects the default.
type Settings struct {
	// Name identifies the router among the members of its site. Zone and Addr are announced to the other members.
	Name string
	Zone string
	Addr netip.AddrPort

	// Seeds are contacted until they answer, so that nodes without any members find each other.
	Seeds []Seed

	// Epoch is the first guess of this instance's InstanceID.Epoch, such as the Unix time in seconds. It may be lower
	// than that of an earlier instance: the node then raises it on the first update about that instance.
	Epoch uint32

	// ProbeInterval is the time between two probes, in microseconds. A shorter interval detects failures sooner and
	// sends more messages, one ping and one acknowledgement for each. Default 100 ms.
	ProbeInterval int64

	// MaxMessageBytes is the size of the largest encoded message, its authentication included. Larger messages carry
	// more updates at once, but must fit one datagram. Default 1200 bytes.
	MaxMessageBytes int

	// GossipBytesPerSecond bounds the updates that are piggybacked on messages, in bytes a second; state exchanges may
	// use twice as much in addition. A higher rate spreads many simultaneous changes sooner. Default 1500 bytes.
	GossipBytesPerSecond int

	// Process describes the node's process to the other members; nil: no description is sent.
	Process *ProcessInfo

	// Handoff is the state of the process that this one replaces; nil: the node starts an instance of its own.
	Handoff *HandoffState

	// disabled is the safeguard that a test turns off; always safeguardNone in a router.
	disabled safeguard
}

// withDefaults replaces zero values by the defaults of their fields.
func (s Settings) withDefaults() Settings {
	if s.ProbeInterval == 0 {
		s.ProbeInterval = defaultProbeInterval
	}
	if s.MaxMessageBytes == 0 {
		s.MaxMessageBytes = defaultMaxMessageBytes
	}
	if s.GossipBytesPerSecond == 0 {
		s.GossipBytesPerSecond = defaultGossipBytesPerSecond
	}
	return s
}

// safeguard is a protection of the protocol. The tests turn safeguards off one at a time to show that each is needed
// and that a test detects its absence; outside of tests all are on.
type safeguard uint8

const (
	safeguardNone             safeguard = iota
	safeguardIncarnationOrder           // an update with a lower incarnation than the held one is ignored
	safeguardRefutation                 // a node refutes false updates about itself
	safeguardConfirmations              // a suspicion of a single member has a longer timeout
	safeguardGossipBound                // the transmissions and bytes of updates are bounded
	safeguardPauseDetection             // a node that was paused does not act on its own view
	safeguardReplayWindow               // a message is accepted once only
)

// safeguardEnabled reports whether a safeguard is on.
func (n *Node) safeguardEnabled(s safeguard) bool { return n.settings.disabled != s }
