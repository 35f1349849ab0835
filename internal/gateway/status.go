package gateway

// Status is what a gateway tells of itself.
type Status struct {
	Name, Site  string
	In, Out     int
	Offers      int
	Taken       int64 // of peers, since the start
	TurnedAway  int64
	Drains      bool
	Peers       []PeerStatus
	WrittenAtMS int64
}

// PeerStatus is that of a peer.
type PeerStatus struct {
	Name, Site, Trust                                          string
	Incarnation                                                uint64
	Room, Out                                                  int
	Limit                                                      float64
	HandedOver, Completed, Refused, Aborted, Cut, Stale, InDue int64
}

// Status tells how the gateway stands.
func (g *Gateway) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{Name: g.config.Settings.Name, Site: g.config.Settings.Site, In: g.gate.In(), Out: g.gate.Out(),
		Offers: g.gate.Offer(g.now()), Taken: g.gate.Moved.Taken, TurnedAway: g.gate.Moved.Turned, Drains: g.drains}
	for _, p := range g.gate.Peers() {
		c := p.Counts
		s.Peers = append(s.Peers, PeerStatus{p.Name, p.Site, p.Trust.String(), p.Incarnation, p.Room, p.Out, p.Limit,
			c.Over, c.Completed, c.Refused, c.Aborted, c.Cut, c.Stale, c.Late})
	}
	return s
}
