package membership

// Connectivity is what a node knows of its own part of the site. Other subsystems decide by it whether this router may
// count on its view. Durations are microseconds. The field Since of its JSON form is a time on the steady clock of the
// router's process, and means nothing elsewhere: tools read Age.
type Connectivity struct {
	// State is the node's own.
	State State `cbor:"1,keyasint,omitempty"`
	// Known counts the members, the node itself included, without those that have left. Reachable counts those of
	// them that are alive or leaving.
	Known     int `cbor:"2,keyasint,omitempty"`
	Reachable int `cbor:"3,keyasint,omitempty"`
	// ProbesAnswered counts the acknowledged ones, directly or indirectly, among the last ProbesSent probes.
	ProbesAnswered int `cbor:"4,keyasint,omitempty" json:"Answered"`
	ProbesSent     int `cbor:"5,keyasint,omitempty" json:"Asked"`
	// Majority says that more than half of the known members are reachable and at least half of the last probes were
	// acknowledged, while the node is neither silenced, resuming, joining nor in a name conflict. In a partition into
	// equal halves neither side has it.
	Majority bool `cbor:"6,keyasint,omitempty"`
	// MajoritySince is when Majority changed last, in microseconds on the clock of Tick; the time of New where it has
	// not changed.
	MajoritySince int64 `cbor:"7,keyasint,omitempty" json:"Since"`
	// Silence is how long no message was accepted.
	Silence int64 `cbor:"8,keyasint,omitempty"`
	// Resuming says that the process was paused and has not heard of another member since; for 2 s at most.
	Resuming bool `cbor:"9,keyasint,omitempty" json:"Waking"`
	// MajorityAge is how long ago Majority changed last.
	MajorityAge int64 `cbor:"11,keyasint,omitempty" json:"Age"`
	// LocalHealth is the local health score, from 0, healthy, to 3.
	LocalHealth int `cbor:"10,keyasint,omitempty" json:"Health"`
}

// Connectivity returns the node's connectivity as of the last Tick.
func (n *Node) Connectivity() Connectivity { return n.connectivity }

func (n *Node) updateConnectivity() {
	c := Connectivity{
		State:          n.self.State,
		ProbesSent:     min(n.probeCount, probeSamples),
		ProbesAnswered: n.acknowledgedProbes(),
		MajoritySince:  n.connectivity.MajoritySince,
		Silence:        n.now - n.lastHeardAt,
		Resuming:       n.resumedAt > 0,
		LocalHealth:    n.localHealth,
	}
	c.Known, c.Reachable = n.countMembers()
	c.Majority = c.hasMajority()
	if c.Majority != n.connectivity.Majority {
		c.MajoritySince = n.now
	}
	c.MajorityAge = n.now - c.MajoritySince
	n.connectivity = c
}

// countMembers counts the members that have not left, and the reachable ones of them, the node itself included.
func (n *Node) countMembers() (known, reachable int) {
	known, reachable = 1, 1
	for _, m := range n.members {
		switch m.state {
		case StateAlive, StateLeaving:
			known++
			reachable++
		case StateSuspect, StateDead:
			known++
		}
	}
	return known, reachable
}

func (c *Connectivity) hasMajority() bool {
	if c.State == StateNameConflict || c.State == StateJoining || c.Resuming {
		return false
	}
	silenced := c.Known > 1 && c.Silence > minSuspicionTimeout(c.Known)
	return !silenced && 2*c.Reachable > c.Known && 2*c.ProbesAnswered >= c.ProbesSent
}
