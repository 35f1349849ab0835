package emulator

import (
	"net"
	"strings"

	"quilldoor/internal/loopback"
)

// reserveAddresses reserves what the router's process listens at: it binds them itself,
// and again when it is started after a death.
func (r *routerProcess) reserveAddresses() error {
	listen, err := r.reserveClientAddress()
	if err != nil {
		return err
	}
	r.clientAddr = listen
	if r.scenario.Fleet.Sites >= 2 {
		gate, err := loopback.Reserve()
		if err != nil {
			return err
		}
		r.gatewayAddr = gate.String()
	}
	if r.scenario.Fleet.Membership {
		if r.membershipAddr, err = loopback.Reserve(); err != nil {
			return err
		}
	}
	return nil
}

// reserveClientAddress is where the router hears clients: the address that the run's options
// name for the first router, or a reserved one.
func (r *routerProcess) reserveClientAddress() (string, error) {
	named := r.config.Listen
	if r.id != 0 || named == "" || strings.HasSuffix(named, ":0") {
		address, err := loopback.Reserve()
		return address.String(), err
	}
	// A port that somebody named can't be reserved. That it is in use shows here already.
	l, err := net.Listen("tcp", named)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
