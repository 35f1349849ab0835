package peerpolicy

import (
	"cmp"
	"slices"
)

const millisecond, second = int64(1000), int64(1_000_000) // in microseconds, the unit of all times

// Settings are the identity and the bounds of this router. Times are microseconds.
type Settings struct {
	Name string // of this router
	Site string // of this router
	// MaxRequests bounds the requests in flight at all peers together. The same bound
	// applies, separately, to the requests in flight here that peers have forwarded.
	MaxRequests int
	// LocalReserve is the share of MaxRequests, 0 to 1, that inbound requests never use.
	LocalReserve float64
	// HeartbeatInterval is the time between two heartbeats. A shorter interval detects
	// failures sooner and costs more messages.
	HeartbeatInterval int64
}

// Controller holds the peers, the requests forwarded to them and the requests admitted
// from them.
type Controller struct {
	settings         Settings
	peers            []*Peer                      // by name
	forwarded        map[string]*forwardedRequest // by request ID
	inbound          map[string]*Peer             // by inboundKey
	localOutcomes    []outcomeSample              // of this site's latest requests; a rejected one is bad
	inboundLimit     float64                      // on len(inbound), adjusted by outcomes
	inboundReducedAt int64
	actions          []Action
	InboundCounts    InboundCounts
}

// InboundCounts are totals of the requests received from peers, since the start.
type InboundCounts struct{ Admitted, Rejected int64 }

// Action is a decision that the caller carries out on its connections.
type Action struct {
	Kind      ActionKind
	Peer      string
	RequestID string
	Outcome   Outcome // with ActionAnswer
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	ActionAnswer     ActionKind = iota // send the outcome to the client of a forwarded request
	ActionCancel                       // cancel a forwarded request at the peer
	ActionDisconnect                   // close the connection to the peer
)

// New makes a controller for a fixed set of peers. The map sites holds the site of each peer
// by the peer's name.
func New(settings Settings, sites map[string]string) *Controller {
	c := &Controller{
		settings:     settings,
		forwarded:    map[string]*forwardedRequest{},
		inbound:      map[string]*Peer{},
		inboundLimit: initialInboundLimit,
	}
	for name, site := range sites {
		c.peers = append(c.peers, &Peer{Name: name, Site: site, State: StateDisconnected})
	}
	slices.SortFunc(c.peers, func(a, b *Peer) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

// Peer returns the peer of that name, or nil if no such peer is configured.
func (c *Controller) Peer(name string) *Peer {
	for _, peer := range c.peers {
		if peer.Name == name {
			return peer
		}
	}
	return nil
}

// Peers returns all peers, ordered by name.
func (c *Controller) Peers() []*Peer { return c.peers }

func (c *Controller) addAction(action Action) { c.actions = append(c.actions, action) }

// Actions returns the pending actions, in order, and clears them.
func (c *Controller) Actions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// TicksPerHeartbeat is the number of calls of Tick in a heartbeat interval.
const TicksPerHeartbeat = 4

// Tick detects silent peers and ends forwarded requests whose deadline has passed. The
// caller calls it TicksPerHeartbeat times in a heartbeat interval.
func (c *Controller) Tick(now int64) {
	for _, peer := range c.peers {
		c.checkSilence(now, peer)
	}
	c.expireForwarded(now)
}
