package main

import (
	"cmp"
	"net/netip"

	"quilldoor/internal/clock"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
)

// openMembership starts the membership in the group of the site's routers, as configured in
// the operator's file. With a state it continues as the member that another process was.
func (r *router) openMembership(file *operatorconfig.Membership, state *membership.HandoffState) error {
	key, err := transport.ReadKey(file.KeyFile)
	if err != nil {
		return err
	}
	settings := r.membershipSettings(file, state)
	r.gossip = newGossipHandler(r)
	listen := netip.MustParseAddrPort(file.Listen)
	if r.agent != nil {
		conn, err := r.agent.PacketConn(socketMembers)
		if err != nil {
			return err
		}
		r.membership = transport.StartOn(conn, settings, key, listen, r.gossip, r.log)
		return nil
	}
	// The previous process of this router may have spent its slow-start budgets until now.
	r.engine.HoldSlowStart(clock.Now(), clock.Now()+r.policy.Contract.OverloadWindow)
	r.membership, err = transport.Start(settings, key, listen, r.gossip, r.log)
	return err
}

func (r *router) membershipSettings(file *operatorconfig.Membership, state *membership.HandoffState) membership.Settings {
	settings := membership.Settings{
		Name:                 file.Name,
		Zone:                 cmp.Or(file.Zone, r.config.Settings.Zone),
		GossipBytesPerSecond: file.BytesPerSecond,
		Handoff:              state,
	}
	if r.agent != nil {
		settings.Process = &membership.ProcessInfo{
			Generation: uint32(r.agent.Generation),
			Program:    programDigest(),
			Settings:   uint32(r.config.settingsDigest),
		}
	}
	for _, peer := range file.Peers {
		addr := netip.MustParseAddrPort(peer.Addr) // operatorconfig has validated it
		settings.Seeds = append(settings.Seeds, membership.Seed{Name: peer.Name, Addr: addr})
	}
	return settings
}
