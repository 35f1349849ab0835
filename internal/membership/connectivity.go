package membership

// Connectivity describes how much of the site a node reaches. Other subsystems decide by it whether this router may
// rely on its view. Durations are in microseconds. The field Since of the JSON form is a time on the steady clock of
// the router's process and has no meaning outside of it: tools read Age.
type Connectivity struct {
	// State is the state of the node itself.
	State State `cbor:"1,keyasint,omitempty"`
	// Known counts the node itself and the members that are alive, leaving, suspect or dead. Reachable counts the node
	// itself and the members that are alive or leaving.
	Known     int `cbor:"2,keyasint,omitempty"`
	Reachable int `cbor:"3,keyasint,omitempty"`
	// ProbesAnswered counts the directly or indirectly acknowledged probes among the last ProbesSent ones.
	ProbesAnswered int `cbor:"4,keyasint,omitempty" json:"Answered"`
	ProbesSent     int `cbor:"5,keyasint,omitempty" json:"Asked"`
	// Majority means that more than half of the known members are reachable and at least half of the last probes were
	// acknowledged, while the node is not resuming, joining or in a name conflict, and its Silence is not longer than
	// the shortest suspicion timeout. In a partition into equal halves neither side has a majority.
	Majority bool `cbor:"6,keyasint,omitempty"`
	// MajoritySince is when Majority last changed, in microseconds on the clock of Tick; the time of New if it has not
	// changed.
	MajoritySince int64 `cbor:"7,keyasint,omitempty" json:"Since"`
	// Silence is the time since the last accepted message.
	Silence int64 `cbor:"8,keyasint,omitempty"`
	// Resuming means that the process was paused and no other member has acknowledged a ping since; for 2 s at most.
	Resuming bool `cbor:"9,keyasint,omitempty" json:"Waking"`
	// MajorityAge is the time since Majority last changed.
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

// countMembers returns Connectivity.Known and Connectivity.Reachable.
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
