package main

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Names under which a supervisor holds a router's sockets and hands them down.
const (
	socketClients = "listen"
	socketGateway = "gateway"
	socketMembers = "members"
)

var errNotTCP = errors.New("no TCP socket")

// listen opens the clients' socket, or takes the one that the supervisor handed down.
func (r *router) listen() (*net.TCPListener, error) {
	listener, err := r.listenOrInherit(socketClients, r.config.Listen)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errNotTCP
	}
	return tcp, nil
}

// listenOrInherit opens a TCP socket, or takes the one that the supervisor handed down
// under this name.
func (r *router) listenOrInherit(name, addr string) (net.Listener, error) {
	if r.agent == nil {
		return net.Listen("tcp", addr)
	}
	return r.agent.Listener(name)
}

// accept lets clients in.
func (r *router) accept() {
	_ = r.listener.SetDeadline(time.Time{})
	r.downstream.SuspendClientLimit(false)
	r.downstream.SetMigrating(false)
	r.served = make(chan error, 1)
	go func(served chan<- error) { served <- r.downstream.Serve(r.listener) }(r.served)
}

// awaitServed waits until downstream accepts no more, once the listener's deadline is set.
func (r *router) awaitServed() {
	err := <-r.served
	r.log.WithError(err).Debug("accepting ended")
}

// acceptBacklog takes the connections that the kernel has accepted already: a listener
// returns none of them once its deadline has passed.
func (r *router) acceptBacklog() {
	const backlogTime = 5 * time.Millisecond // what is there is returned without a wait
	_ = r.listener.SetDeadline(time.Now().Add(backlogTime))
	if err := r.downstream.Serve(r.listener); err != nil {
		r.log.WithError(err).Warn("backlog of new connections lost")
	}
}

// growDescriptorTable grows the process's descriptor table to its bound while nothing
// waits for it. The kernel waits for all cores when it grows the table of a process with
// threads, on busy ones for seconds, and the whole runtime waits with the socket that
// needs the new descriptor.
func growDescriptorTable(descriptors int) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	const stderr = 2
	highest, err := unix.FcntlInt(stderr, unix.F_DUPFD_CLOEXEC, min(descriptors, int(limit.Cur))-1)
	if err != nil {
		return err
	}
	return unix.Close(highest)
}
