package peerpolicy

import (
	"cmp"
	"slices"
)

const millisecond, second = int64(1000), int64(1_000_000) // microseconds

// Settings bound the gateway. Times are microseconds.
type Settings struct {
	Name string // of this router
	Site string // of this router
	// MaxRequests bounds the requests forwarded to all peers, and those inbound from all
	// peers, at the same time.
	MaxRequests int
	// LocalReserve is the share of MaxRequests that inbound requests never take.
	LocalReserve float64
	// HeartbeatInterval is the time between two heartbeats. Shorter finds failures
	// sooner and costs more messages.
	HeartbeatInterval int64
}

// Controller is the state: the peers, the requests forwarded to them and those that came
// from them.
type Controller struct {
	settings         Settings
	peers            []*Peer // by name
	forwarded        map[string]*forwardedRequest
	inbound          map[string]*Peer
	localOutcomes    []outcomeSample // of this site's last requests: were they rejected?
	inboundLimit     float64         // requests from peers at the same time
	inboundReducedAt int64
	actions          []Action
	InboundCounts    InboundCounts
}

// InboundCounts are totals of the requests that came from peers.
type InboundCounts struct{ Taken, Rejected int64 }

// Action is something to do on the sockets.
type Action struct {
	Kind      ActionKind
	Peer      string
	RequestID string
	Outcome   Outcome // of ActionAnswer
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	ActionAnswer     ActionKind = iota // answer the forwarded request's client
	ActionWithdraw                     // tell the peer that the request is given up
	ActionDisconnect                   // close the connection to the peer
)

// New makes a controller for the given peers, their sites by their names. It never deals
// with any other router.
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

// Peer finds a peer by its name; nil: it is none of the configured ones.
func (c *Controller) Peer(name string) *Peer {
	for _, peer := range c.peers {
		if peer.Name == name {
			return peer
		}
	}
	return nil
}

// Peers are all of them, by name.
func (c *Controller) Peers() []*Peer { return c.peers }

func (c *Controller) do(action Action) { c.actions = append(c.actions, action) }

// Actions takes what is to be done.
func (c *Controller) Actions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// TicksPerHeartbeat is how often Tick is called in a heartbeat interval.
const TicksPerHeartbeat = 4

// Tick finds silent peers and forwarded requests whose time is over. It is to be called
// TicksPerHeartbeat times in a heartbeat interval.
func (c *Controller) Tick(now int64) {
	for _, peer := range c.peers {
		c.checkSilence(now, peer)
	}
	c.expireForwarded(now)
}
