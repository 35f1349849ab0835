package main

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Names under which a supervisor holds a router's sockets and passes them to its processes.
const (
	socketClients = "listen"
	socketGateway = "gateway"
	socketMembers = "members"
)

var errNotTCP = errors.New("the inherited socket is not a TCP socket")

// listen opens the socket for clients, or returns the one inherited from the supervisor.
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

// listenOrInherit opens a TCP socket, or returns the one inherited from the supervisor under
// this name.
func (r *router) listenOrInherit(name, addr string) (net.Listener, error) {
	if r.agent == nil {
		return net.Listen("tcp", addr)
	}
	return r.agent.Listener(name)
}

// accept starts to accept clients.
func (r *router) accept() {
	_ = r.listener.SetDeadline(time.Time{})
	r.downstream.SuspendClientLimit(false)
	r.downstream.SetMigrating(false)
	r.served = make(chan error, 1)
	go func(served chan<- error) { served <- r.downstream.Serve(r.listener) }(r.served)
}

// awaitServed waits for the end of downstream's accept loop. The listener's deadline must
// have been set.
func (r *router) awaitServed() {
	err := <-r.served
	r.log.WithError(err).Debug("accepting ended")
}

// acceptBacklog serves the connections that the kernel has accepted already. It extends the
// listener's deadline, after which the listener returns none of them.
func (r *router) acceptBacklog() {
	const backlogTime = 5 * time.Millisecond // queued connections are returned without a wait
	_ = r.listener.SetDeadline(time.Now().Add(backlogTime))
	if err := r.downstream.Serve(r.listener); err != nil {
		r.log.WithError(err).Warn("backlog of new connections lost")
	}
}

// growDescriptorTable grows the process's descriptor table to its maximum size before the
// router serves. To grow the table of a process with threads, the kernel waits for all cores,
// which takes seconds on busy ones. Meanwhile the whole Go runtime would wait, along with the
// socket that needs the new descriptor.
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
