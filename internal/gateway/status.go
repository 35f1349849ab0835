package gateway

// Status is what a gateway tells of itself. Its JSON keys are those of the status file.
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

// PeerStatus is the state of a peer.
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

// Status tells the gateway's state.
func (g *Gateway) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := Status{
		Name:              g.config.Settings.Name,
		Site:              g.config.Settings.Site,
		InboundInFlight:   g.controller.InboundInFlight(),
		ForwardedInFlight: g.controller.ForwardedInFlight(),
		OfferedCapacity:   g.controller.OfferedCapacity(g.now()),
		Taken:             g.controller.InboundCounts.Taken,
		Rejected:          g.controller.InboundCounts.Rejected,
		Draining:          g.draining,
	}
	for _, p := range g.controller.Peers() {
		c := p.Counts
		status.Peers = append(status.Peers, PeerStatus{
			Name: p.Name, Site: p.Site, State: p.State.String(), Incarnation: p.Incarnation,
			Capacity: p.Capacity, InFlight: p.InFlight, Limit: p.Limit,
			Forwarded: c.Forwarded, Completed: c.Completed, Rejected: c.Rejected, Aborted: c.Aborted,
			ConnectionLost: c.ConnectionLost, Stale: c.Stale, Late: c.Late,
		})
	}
	return status
}
