package upgradeagent

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// Environment variables of a router process that a supervisor has started.
const (
	EnvFolder     = "QUILLDOOR_KEEP"       // the supervisor's folder
	EnvGeneration = "QUILLDOOR_GENERATION" // number of the generation
	EnvSockets    = "QUILLDOOR_SOCKETS"    // names of the inherited sockets, separated by commas
	EnvProgram    = "QUILLDOOR_PROGRAM"    // handoff.FileDigest of the program
)

// Inherited descriptors: the connection to the supervisor, then the sockets in the
// order of EnvSockets.
const (
	connectionFD  = 3
	firstSocketFD = 4
)

// Names of files in a supervisor's folder.
const (
	SocketName = "keep.sock" // the socket that the supervisor listens on
	LockName   = "place"     // the serving lock
)

// maxQueuedPeerMessages bounds the messages from other routers that wait for the
// supervisor.
const maxQueuedPeerMessages = 64

// Inherit returns an Agent with the connection and the sockets that the process has
// inherited from a supervisor. It returns nil if no supervisor has started the process.
func Inherit(env func(string) string) (*Agent, error) {
	folder := env(EnvFolder)
	if folder == "" {
		return nil, nil
	}
	number, err := strconv.ParseUint(env(EnvGeneration), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvGeneration, err)
	}
	conn, err := handoff.FromFile(os.NewFile(connectionFD, "supervisor"))
	if err != nil {
		return nil, fmt.Errorf("connection to the supervisor on descriptor %d: %w", connectionFD, err)
	}
	names := strings.Split(env(EnvSockets), ",")
	lock, err := openServingLock(filepath.Join(folder, LockName))
	if err != nil {
		return nil, err
	}
	return &Agent{
		Generation:         number,
		startedAt:          time.Now(),
		Sockets:            inheritedSockets(names),
		folder:             folder,
		socketNames:        names,
		conn:               conn,
		lock:               lock,
		machine:            upgrade.NewAgent(),
		supervisorMessages: make(chan *handoff.Message, maxQueuedSupervisorMessages),
		peerMessages:       make(chan *handoff.Message, maxQueuedPeerMessages),
	}, nil
}

func inheritedSockets(names []string) map[string]*os.File {
	sockets := map[string]*os.File{}
	for i, name := range names {
		descriptor := firstSocketFD + i
		unix.CloseOnExec(descriptor)
		sockets[name] = os.NewFile(uintptr(descriptor), name)
	}
	return sockets
}

func (a *Agent) socket(name string) (*os.File, error) {
	file := a.Sockets[name]
	if file == nil {
		return nil, fmt.Errorf("the supervisor has passed no socket named %q", name)
	}
	return file, nil
}

// Listener returns a listener on the inherited stream socket of that name.
func (a *Agent) Listener(name string) (net.Listener, error) {
	file, err := a.socket(name)
	if err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// PacketConn returns a connection on the inherited UDP socket of that name.
func (a *Agent) PacketConn(name string) (*net.UDPConn, error) {
	file, err := a.socket(name)
	if err != nil {
		return nil, err
	}
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, err
	}
	udpConn, ok := conn.(*net.UDPConn)
	if !ok {
		conn.Close()
		return nil, fmt.Errorf("the inherited socket %q is not a UDP socket", name)
	}
	return udpConn, nil
}
