// Package handoff has the words between a keeper and the generations of a router
// that it keeps, and the file that outlasts them. Words go over a Unix stream
// socket: 4 bytes of length, big endian, and a CBOR map (RFC 8949) with small keys.
// Unknown keys are passed over and missing ones are zero, so that texts of different
// age can talk; docs/change.md has a page on it.
package handoff

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"quilldoor/internal/cborcodec"
	"quilldoor/internal/invariant"
	"quilldoor/internal/membership"
	"quilldoor/internal/policy"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgrade"
)

// Format is that of the words. A keeper refuses a generation that names none.
const Format = 1

// Kind of a word.
type Kind uint8

// Kinds of words. Of the keeper: Own to Bound; of a generation: Hello to Beat; of a
// tool: Apply to Status, answered by Report.
const (
	KindServe           Kind = 1 + iota // serve; with State: in the place of who had it
	KindQuiesce                         // take nothing new, hand over
	KindSuccessorServes                 // the successor serves
	KindSettle                          // the trial is over
	KindResume                          // serve again
	KindEnd                             // answer what there is, then end
	KindReload                          // read the settings again, as by SIGHUP
	KindLimits                          // Memory and Descriptors are the generation's part from now on
	KindOtherAttempts                   // Outs of the other generation
	KindHello                           // the first word: Generation, Format; an orphan's with State of its part, and its sockets
	KindReady                           // it could serve
	KindReleased                        // it takes nothing new and holds nothing that one generation holds; with State
	KindAccepting                       // it serves
	KindDenied                          // it did not get the place
	KindSettled                         //
	KindHeartbeat                       // Ends, Outs, Txns, Acts
	KindApply                           // Program, Config, Operator
	KindRollBack                        //
	KindStatus                          //
	KindReport                          // Note; Over: the last one
	KindPeerMessage                     // to the router To, or from From: Body, among members
	KindRollout                         // of a tool: Command of a rollout; 0: only Report, with Rollout
)

// Message is what is said.
type Message struct {
	Kind                Kind                  `cbor:"1,keyasint"`
	Format              int                   `cbor:"2,keyasint,omitempty"`
	Generation          uint64                `cbor:"3,keyasint,omitempty"`
	State               *State                `cbor:"4,keyasint,omitempty"`
	Requests            upgrade.RequestCounts `cbor:"5,keyasint,omitempty"`
	OutstandingAttempts map[string][3]float64 `cbor:"6,keyasint,omitempty"`
	Limits              upgrade.Resources     `cbor:"7,keyasint,omitempty"`
	AgentState          upgrade.AgentState    `cbor:"8,keyasint,omitempty"`
	WasSettled          bool                  `cbor:"9,keyasint,omitempty"`
	PID                 int                   `cbor:"10,keyasint,omitempty"`
	Sockets             []string              `cbor:"11,keyasint,omitempty"` // what the descriptors that come along are
	Program             string                `cbor:"12,keyasint,omitempty"`
	Config              string                `cbor:"13,keyasint,omitempty"`
	Operator            string                `cbor:"14,keyasint,omitempty"`
	Note                string                `cbor:"15,keyasint,omitempty"`
	Final               bool                  `cbor:"16,keyasint,omitempty"`
	OK                  bool                  `cbor:"17,keyasint,omitempty"`
	FellBack            bool                  `cbor:"18,keyasint,omitempty"`
	Status              *Status               `cbor:"19,keyasint,omitempty"`
	OpenRequests        int                   `cbor:"20,keyasint,omitempty"`
	To                  string                `cbor:"22,keyasint,omitempty"`
	From                string                `cbor:"23,keyasint,omitempty"`
	Body                []byte                `cbor:"24,keyasint,omitempty"`
	Command             rollout.Command       `cbor:"25,keyasint,omitempty"`
	Rollout             *rollout.Status       `cbor:"26,keyasint,omitempty"`
	Activity            *invariant.Activity   `cbor:"27,keyasint,omitempty"`
	BudgetsMaybeSpent   bool                  `cbor:"21,keyasint,omitempty"` // of Own and Resume: somebody may have spent the router's part of cold budgets
}

// State is what a generation hands over.
type State struct {
	Revision   int64                    `cbor:"1,keyasint,omitempty"` // of the notice board
	Servers    []Server                 `cbor:"2,keyasint,omitempty"`
	Learned    *policy.Snapshot         `cbor:"3,keyasint,omitempty"`
	Membership *membership.HandoffState `cbor:"4,keyasint,omitempty"`
	Purges     []Purge                  `cbor:"5,keyasint,omitempty"` // that peers of other sites are told of
}

// Server is a line of the list.
type Server struct {
	Server   string               `cbor:"1,keyasint"`
	Zone     string               `cbor:"2,keyasint,omitempty"`
	Kind     string               `cbor:"3,keyasint,omitempty"`
	Cell     int                  `cbor:"4,keyasint,omitempty"`
	State    policy.EndpointState `cbor:"5,keyasint"`
	Weight   float64              `cbor:"6,keyasint,omitempty"`
	Born     int64                `cbor:"7,keyasint,omitempty"`
	Endpoint string               `cbor:"8,keyasint"`
}

// Purge is one that may still bind.
type Purge struct {
	_      struct{} `cbor:",toarray"`
	Object string
	Group  int64
	At     int64
}

// Status is what a keeper tells of itself.
type Status struct {
	State             string    `cbor:"1,keyasint" json:"state"`
	SinceMS           int64     `cbor:"2,keyasint" json:"since_ms"`
	Serving           *Process  `cbor:"3,keyasint,omitempty" json:"serving,omitempty"`
	Next              *Process  `cbor:"4,keyasint,omitempty" json:"next,omitempty"`
	Settled           *Manifest `cbor:"5,keyasint,omitempty" json:"settled,omitempty"`
	Previous          *Manifest `cbor:"6,keyasint,omitempty" json:"previous,omitempty"`
	LastOutcome       string    `cbor:"7,keyasint,omitempty" json:"last,omitempty"` // what became of the last change
	Persistent        bool      `cbor:"8,keyasint,omitempty" json:"lasting"`        // the file could be written
	SupervisorPID     int       `cbor:"9,keyasint,omitempty" json:"keeper_pid"`
	Restarts          int       `cbor:"10,keyasint,omitempty" json:"restarts"` // of the settled generation, unasked
	LastCrashMS       int64     `cbor:"11,keyasint,omitempty" json:"last_fall_ms"`
	DrainingProcesses int       `cbor:"14,keyasint,omitempty" json:"others"`  // processes that still end
	PeakMB            int       `cbor:"12,keyasint,omitempty" json:"most_mb"` // of all processes together, since the keeper began
	PeakDescriptors   int       `cbor:"13,keyasint,omitempty" json:"most_descriptors"`
}

// Process is a running generation.
type Process struct {
	Generation     uint64                `cbor:"1,keyasint" json:"generation"`
	PID            int                   `cbor:"2,keyasint" json:"pid"`
	AgentState     string                `cbor:"3,keyasint" json:"part"`
	MemoryMB       int                   `cbor:"4,keyasint,omitempty" json:"memory_mb"`
	Descriptors    int                   `cbor:"5,keyasint,omitempty" json:"descriptors"`
	Requests       upgrade.RequestCounts `cbor:"6,keyasint,omitempty" json:"ends"`
	HeartbeatAgeMS int64                 `cbor:"7,keyasint,omitempty" json:"beat_ms"`          // since its last word
	ViolatedRule   string                `cbor:"8,keyasint,omitempty" json:"broken,omitempty"` // the rule that its keeper has seen it break
}

// MaxMessageBytes bounds a word: a state of some thousand servers.
const MaxMessageBytes = 8 << 20

// Errors of connections.
var (
	ErrTooLong          = errors.New("handover: a word longer than 8 MB")
	ErrMalformedMessage = errors.New("handover: not a word")
)

var decoding = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 100_000, MaxMapPairs: 100_000, MaxNestedLevels: 12, RejectDuplicateKeys: true,
})

// Decode reads a word's payload.
func Decode(b []byte) (*Message, error) {
	w := new(Message)
	if err := decoding.Unmarshal(b, w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	if w.Kind == 0 {
		return nil, ErrMalformedMessage
	}
	return w, nil
}

// Conn carries words. Say may be called by any goroutine, Hear by one.
type Conn struct {
	sock *net.UnixConn
	mu   sync.Mutex
	fds  []int // that came along, not yet taken
}

// NewConn takes a socket over.
func NewConn(sock *net.UnixConn) *Conn { return &Conn{sock: sock} }

// FromFile takes over a socket that a parent has handed down.
func FromFile(f *os.File) (*Conn, error) {
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	sock, ok := c.(*net.UnixConn)
	if !ok {
		c.Close()
		return nil, fmt.Errorf("handover: %s is no Unix socket", f.Name())
	}
	return NewConn(sock), nil
}

// sayWithin is how long a word may take to be taken in: who does not read may be
// stopped, and nobody waits for it.
const sayWithin = 500 * time.Millisecond

// Send sends a word; sockets go along. A word that is not taken in whole ends the
// connection, since what follows could not be read.
func (c *Conn) Send(w *Message, sockets ...*os.File) error {
	p, err := cbor.Marshal(w)
	if err != nil {
		return err
	}
	if len(p) > MaxMessageBytes {
		return ErrTooLong
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(p)), uint32(len(p)))
	b = append(b, p...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sock.SetWriteDeadline(time.Now().Add(sayWithin))
	if len(sockets) > 0 {
		var fds []int
		for _, f := range sockets {
			fds = append(fds, int(f.Fd())) // made by os.NewFile: it leaves the socket's mode alone
		}
		n, _, err := c.sock.WriteMsgUnix(b, unix.UnixRights(fds...), nil)
		if err != nil {
			c.sock.Close()
			return err
		}
		b = b[n:]
	}
	if _, err := c.sock.Write(b); err != nil {
		c.sock.Close()
		return err
	}
	return nil
}

// Receive waits for the next word. Descriptors that came along stay for Sockets.
func (c *Conn) Receive() (*Message, error) {
	var head [4]byte
	if err := c.full(head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxMessageBytes {
		return nil, ErrTooLong
	}
	b := make([]byte, n)
	if err := c.full(b); err != nil {
		return nil, err
	}
	return Decode(b)
}

// full reads all of b, and keeps the descriptors that come along: a few at most.
func (c *Conn) full(b []byte) error {
	const most = 8
	oob := make([]byte, unix.CmsgSpace(4*most))
	for len(b) > 0 {
		n, oobn, _, _, err := c.sock.ReadMsgUnix(b, oob)
		if oobn > 0 {
			if list, err := unix.ParseSocketControlMessage(oob[:oobn]); err == nil {
				for i := range list {
					if fds, err := unix.ParseUnixRights(&list[i]); err == nil {
						c.fds = append(c.fds, fds...)
					}
				}
			}
			for len(c.fds) > most {
				unix.Close(c.fds[0])
				c.fds = c.fds[1:]
			}
		}
		if err != nil {
			return err
		}
		if b = b[n:]; n == 0 {
			return io.EOF
		}
	}
	return nil
}

// Sockets takes the descriptors that came along, by the names that the word gives.
func (c *Conn) Sockets(names []string) map[string]*os.File {
	out := map[string]*os.File{}
	for i, fd := range c.fds {
		unix.CloseOnExec(fd)
		if i < len(names) {
			out[names[i]] = os.NewFile(uintptr(fd), names[i])
		} else {
			unix.Close(fd)
		}
	}
	c.fds = nil
	return out
}

// Close ends the connection.
func (c *Conn) Close() error { return c.sock.Close() }

// Request says a word to the keeper of a folder, and waits for its last report; those on
// the way go to tell.
func Request(socket string, w *Message, tell func(string)) (*Message, error) {
	sock, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: socket, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("no keeper answers: %w", err)
	}
	c := NewConn(sock)
	defer c.Close()
	if err := c.Send(w); err != nil {
		return nil, err
	}
	for {
		r, err := c.Receive()
		if err != nil {
			return nil, fmt.Errorf("the keeper has gone: %w", err)
		}
		if r.Note != "" && tell != nil {
			tell(r.Note)
		}
		if r.Final {
			return r, nil
		}
	}
}

// PeerPID is the process at the other end.
func (c *Conn) PeerPID() (pid int, err error) {
	raw, err := c.sock.SyscallConn()
	if err != nil {
		return 0, err
	}
	var cred *unix.Ucred
	if e := raw.Control(func(fd uintptr) { cred, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); e != nil {
		return 0, e
	}
	if err != nil {
		return 0, err
	}
	return int(cred.Pid), nil
}
