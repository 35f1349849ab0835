package gateway

// Status is a snapshot of a gateway's state. Its JSON keys are those of the status file.
type Status struct {
	Name, Site        string
	InboundInFlight   int   `json:"In"`
	ForwardedInFlight int   `json:"Out"`
	OfferedCapacity   int   `json:"Offers"`
	Taken             int64 // peers' requests admitted since the start
	Rejected          int64 `json:"TurnedAway"` // peers' requests rejected since the start
	Draining          bool  `json:"Drains"`
	Peers             []PeerStatus
	WrittenAtMS       int64 // Unix milliseconds, set by the writer of the status file
}

// PeerStatus is the state of a peer. The counts are totals since the start.
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

// Status returns the gateway's state.
func (g *Gateway) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := Status{
		Name:              g.config.Settings.Name,
		Site:              g.config.Settings.Site,
		InboundInFlight:   g.controller.InboundInFlight(),
		ForwardedInFlight: g.controller.ForwardedInFlight(),
		OfferedCapacity:   g.controller.OfferedCapacity(g.now()),
		Taken:             g.controller.InboundCounts.Admitted,
		Rejected:          g.controller.InboundCounts.Rejected,
		Draining:          g.draining,
	}
	for _, peer := range g.controller.Peers() {
		counts := peer.Counts
		status.Peers = append(status.Peers, PeerStatus{
			Name: peer.Name, Site: peer.Site, State: peer.State.String(), Incarnation: peer.Incarnation,
			Capacity: peer.Capacity, InFlight: peer.InFlight, Limit: peer.Limit,
			Forwarded: counts.Forwarded, Completed: counts.Completed, Rejected: counts.Rejected, Aborted: counts.Aborted,
			ConnectionLost: counts.ConnectionLost, Stale: counts.Stale, Late: counts.Late,
		})
	}
	return status
}
