package emulator

import (
	"net"
	"strings"

	"quilldoor/internal/loopback"
)

// reserveAddresses reserves the addresses that the router process listens on. The process binds
// them, also when it is started again after a crash.
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

// reserveClientAddress returns the address on which the router listens for clients: for the
// first router the one of SocketOptions.Listen if it has a port, else a reserved one.
func (r *routerProcess) reserveClientAddress() (string, error) {
	configured := r.config.Listen
	if r.id != 0 || configured == "" || strings.HasSuffix(configured, ":0") {
		address, err := loopback.Reserve()
		return address.String(), err
	}
	// A configured port can't be reserved. Binding it once reports a port in use before the
	// router starts.
	listener, err := net.Listen("tcp", configured)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
