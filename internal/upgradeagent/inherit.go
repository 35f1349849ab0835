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

// Environment of a router process that a supervisor has started.
const (
	EnvFolder     = "QUILLDOOR_KEEP"       // the supervisor's folder
	EnvGeneration = "QUILLDOOR_GENERATION" // number
	EnvSockets    = "QUILLDOOR_SOCKETS"    // names of the inherited sockets, with commas
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
	SocketName = "keep.sock" // where the supervisor listens
	LockName   = "place"     // the serving lock
)

// maxQueuedPeerMessages bounds the messages of other routers that wait for the supervisor.
const maxQueuedPeerMessages = 64

// Inherit takes over what a supervisor has handed down; nil when there is none.
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
		return nil, fmt.Errorf("connection to the supervisor: %w", err)
	}
	names := strings.Split(env(EnvSockets), ",")
	lock, err := openLock(filepath.Join(folder, LockName))
	if err != nil {
		return nil, err
	}
	return &Agent{
		Number:       number,
		startedAt:    time.Now(),
		Sockets:      inheritedSockets(names),
		folder:       folder,
		socketNames:  names,
		conn:         conn,
		lock:         lock,
		machine:      upgrade.NewAgent(),
		received:     make(chan *handoff.Message, maxQueuedMessages),
		peerMessages: make(chan *handoff.Message, maxQueuedPeerMessages),
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
	f := a.Sockets[name]
	if f == nil {
		return nil, fmt.Errorf("the supervisor has handed down no socket for %s", name)
	}
	return f, nil
}

// Listener returns one of an inherited stream socket.
func (a *Agent) Listener(name string) (net.Listener, error) {
	f, err := a.socket(name)
	if err != nil {
		return nil, err
	}
	return net.FileListener(f)
}

// PacketConn returns one of an inherited UDP socket.
func (a *Agent) PacketConn(name string) (*net.UDPConn, error) {
	f, err := a.socket(name)
	if err != nil {
		return nil, err
	}
	c, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	udp, ok := c.(*net.UDPConn)
	if !ok {
		c.Close()
		return nil, fmt.Errorf("the inherited socket for %s is no UDP socket", name)
	}
	return udp, nil
}
