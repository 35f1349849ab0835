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

// Seed is a member that the operator's file names. Its address takes precedence over the one that gossip carries.
type Seed struct {
	Name string
	Addr netip.AddrPort
}

// Settings of a Node. Zero values of the fields with a default select it.
type Settings struct {
	// Name identifies the router among its site's members; Zone and Addr are what it tells the others of itself.
	Name string
	Zone string
	Addr netip.AddrPort

	// Seeds are contacted until they answer, so that nodes which know nobody find each other.
	Seeds []Seed

	// Epoch is the first guess of this instance's InstanceID.Epoch, such as the Unix time in seconds. It may be lower
	// than that of an earlier instance: the node then raises it once it hears of that one.
	Epoch uint32

	// ProbeInterval is the time between two probes, in microseconds. A shorter interval detects failures sooner and
	// sends more messages, one ping and one acknowledgement for each. Default 100 ms.
	ProbeInterval int64

	// MaxMessageBytes is the size of the largest encoded message, its authentication included. Larger messages carry
	// more updates at once, but must fit one datagram. Default 1200 bytes.
	MaxMessageBytes int

	// GossipBytesPerSecond bounds the updates that are piggybacked on messages, in bytes a second; a state exchange
	// may use twice as much beside it. A higher rate spreads many simultaneous changes sooner. Default 1500 bytes.
	GossipBytesPerSecond int

	// Process is what the node tells the others of its process; nil: nothing.
	Process *ProcessInfo

	// Handoff is the state of the process that this one replaces; nil: the node starts an instance of its own.
	Handoff *HandoffState

	// disabled is the safeguard that a test turns off; none in a router.
	disabled safeguard
}

// withDefaults replaces the zero values of fields that have a default.
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

// safeguard is a protection of the protocol. The tests turn them off one at a time to prove that each is needed and
// that its absence is noticed; outside of tests all are on.
type safeguard uint8

const (
	safeguardNone             safeguard = iota
	safeguardIncarnationOrder           // an update with a lower incarnation than the known one is ignored
	safeguardRefutation                 // a node refutes what is said of it
	safeguardConfirmations              // one suspecting member alone must wait longer
	safeguardGossipBound                // updates are sent a bounded number of times and bytes
	safeguardPauseDetection             // a node that was paused distrusts its own view
	safeguardReplayWindow               // a message is accepted once
)

// guards reports whether a safeguard is on.
func (n *Node) guards(s safeguard) bool { return n.settings.disabled != s }
