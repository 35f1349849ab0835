package emulator

import (
	"net"
	"strings"

	"quilldoor/internal/loopback"
)

// takeAddresses reserves what the router's process listens at: it binds them itself,
// and again when it is started after a death.
func (r *process) takeAddresses() error {
	listen, err := r.clientAddress()
	if err != nil {
		return err
	}
	r.listen = listen
	if r.set.Fleet.Sites >= 2 {
		gate, err := loopback.Reserve()
		if err != nil {
			return err
		}
		r.gate = gate.String()
	}
	if r.set.Fleet.Membership {
		if r.members, err = loopback.Reserve(); err != nil {
			return err
		}
	}
	return nil
}

// clientAddress is where the router hears clients: the address that the run's options
// name for the first router, or a reserved one.
func (r *process) clientAddress() (string, error) {
	named := r.conf.Listen
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
