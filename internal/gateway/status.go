package gateway

// Status is what a gateway tells of itself.
type Status struct {
	Name, Site        string
	InboundInFlight   int   `json:"In"`
	ForwardedInFlight int   `json:"Out"`
	OfferedCapacity   int   `json:"Offers"`
	Taken             int64 // of peers, since the start
	Rejected          int64 `json:"TurnedAway"`
	Draining          bool  `json:"Drains"`
	Peers             []PeerStatus
	WrittenAtMS       int64
}

// PeerStatus is that of a peer.
type PeerStatus struct {
	Name           string
	Site           string
	State          string `json:"Trust"`
	Incarnation    uint64
	Capacity       int `json:"Room"`
	InFlight       int `json:"Out"`
	Limit          float64
	Forwarded      int64 `json:"HandedOver"`
	Completed      int64
	Rejected       int64 `json:"Refused"`
	Aborted        int64
	ConnectionLost int64 `json:"Cut"`
	Stale          int64
	Late           int64 `json:"InDue"`
}

// Status tells how the gateway stands.
func (g *Gateway) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{
		Name: g.config.Settings.Name, Site: g.config.Settings.Site, InboundInFlight: g.gate.InboundInFlight(), ForwardedInFlight: g.gate.ForwardedInFlight(),
		OfferedCapacity: g.gate.OfferedCapacity(g.now()), Taken: g.gate.InboundCounts.Taken, Rejected: g.gate.InboundCounts.Rejected, Draining: g.drains,
	}
	for _, p := range g.gate.Peers() {
		c := p.Counts
		s.Peers = append(s.Peers, PeerStatus{
			p.Name, p.Site, p.State.String(), p.Incarnation, p.Capacity, p.InFlight, p.Limit,
			c.Forwarded, c.Completed, c.Rejected, c.Aborted, c.ConnectionLost, c.Stale, c.Late,
		})
	}
	return s
}
