package emulator

import (
	"net"
	"strings"

	"quilldoor/internal/loopback"
)

// reserveAddresses reserves the addresses that the router's process listens at. It binds
// them itself, and again when it is started after a crash.
func (r *routerProcess) reserveAddresses() error {
	var err error
	if r.clientAddr, err = r.reserveClientAddress(); err != nil {
		return err
	}
	if r.scenario.Fleet.Sites >= 2 {
		address, err := loopback.Reserve()
		if err != nil {
			return err
		}
		r.gatewayAddr = address.String()
	}
	if r.scenario.Fleet.Membership {
		if r.membershipAddr, err = loopback.Reserve(); err != nil {
			return err
		}
	}
	return nil
}

// reserveClientAddress is where the router listens for clients: the address that the run's
// options name for the first router, or a reserved one.
func (r *routerProcess) reserveClientAddress() (string, error) {
	named := r.config.Listen
	if r.id != 0 || named == "" || strings.HasSuffix(named, ":0") {
		address, err := loopback.Reserve()
		return address.String(), err
	}
	// A port that somebody named can't be reserved. That it is in use shows here already.
	listener, err := net.Listen("tcp", named)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
