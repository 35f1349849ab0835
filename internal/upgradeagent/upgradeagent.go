// Package upgradeagent is a router's side of a change: the connection to its keeper,
// the place that only one process has, and the carrying out of what package change
// decides. It finds a new keeper when the old one dies.
package upgradeagent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// Host is the router that is a generation.
type Host interface {
	// Acquire takes what one generation owns, and accepts clients. State is what the
	// predecessor knew, nil at a start from nothing; mine: it is what Disown told, and
	// another generation has served since. Hold: somebody may have spent this router's
	// part of cold servers' budgets meanwhile.
	Acquire(state *handoff.State, mine, hold bool) error
	// Release accepts nothing more, lets all of that go, and tells what is known.
	Release() *handoff.State
	SetLimits(upgrade.Resources)
	SetOtherAttempts(outs map[string][3]float64)
	Reload()
	Heartbeat() *handoff.Message // Ends, Outs, Txns and Acts
	Ready() bool
	SendToPeer(to string, body []byte) // to another router of the site
}

// What the keeper hands down: the folder, the generation's number, the sockets'
// names; descriptors stand in their order from firstFD on.
const (
	EnvFolder     = "QUILLDOOR_KEEP"
	EnvGeneration = "QUILLDOOR_GENERATION"
	EnvSockets    = "QUILLDOOR_SOCKETS"
	EnvProgram    = "QUILLDOOR_PROGRAM" // its digest
	firstFD       = 3                   // the connection to the keeper, then the sockets
)

// Names of what lies in a keeper's folder.
const (
	SocketName = "keep.sock"
	LockName   = "place"
)

// Agent is this process as its keeper knows it.
type Agent struct {
	Number  uint64
	Sockets map[string]*os.File // by name: "listen" at least

	folder string
	names  []string
	conn   *handoff.Conn
	place  *os.File
	held   bool
	log    *logrus.Entry
	start  time.Time
	part   *upgrade.Agent
	state  *handoff.State // of the predecessor, or one's own from before
	mine   bool           // it is one's own
	hold   bool
	told   bool                  // that it is ready
	came   chan *handoff.Message // letters of other routers
	lastIn string
}

// Inherit takes over what a keeper has handed down; nil without one.
func Inherit(env func(string) string) (*Agent, error) {
	folder := env(EnvFolder)
	if folder == "" {
		return nil, nil
	}
	n, err := strconv.ParseUint(env(EnvGeneration), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvGeneration, err)
	}
	g := &Agent{
		Number: n, Sockets: map[string]*os.File{}, folder: folder, names: strings.Split(env(EnvSockets), ","), start: time.Now(), part: upgrade.NewAgent(),
		came: make(chan *handoff.Message, 64),
	}
	if g.conn, err = handoff.FromFile(os.NewFile(firstFD, "keeper")); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	for i, name := range g.names {
		unix.CloseOnExec(firstFD + 1 + i)
		g.Sockets[name] = os.NewFile(uintptr(firstFD+1+i), name)
	}
	if g.place, err = os.OpenFile(filepath.Join(folder, LockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, fmt.Errorf("place: %w", err)
	}
	return g, nil
}

// Listener makes one of an inherited socket.
func (g *Agent) Listener(name string) (net.Listener, error) {
	f := g.Sockets[name]
	if f == nil {
		return nil, fmt.Errorf("the keeper has handed down no socket for %s", name)
	}
	return net.FileListener(f)
}

// PacketConn makes a socket for datagrams of an inherited one.
func (g *Agent) PacketConn(name string) (*net.UDPConn, error) {
	f := g.Sockets[name]
	if f == nil {
		return nil, fmt.Errorf("the keeper has handed down no socket for %s", name)
	}
	c, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

func (g *Agent) now() int64 { return time.Since(g.start).Microseconds() }

// Times of the connection to the keeper.
const (
	beatEvery  = 100 * time.Millisecond
	placeEvery = 3 * time.Millisecond   // while it is wanted
	callEvery  = 100 * time.Millisecond // for a keeper, while there is none
	soon       = 5 * time.Millisecond   // until it is ready
)

// Run does what the keeper says until the generation has ended what it has to: it
// returns when the router is to drain and end. Term is a wish of the system's for
// that. An error: it could not take what it was told to own.
func (g *Agent) Run(ctx context.Context, host Host, term <-chan os.Signal, log *logrus.Entry) error {
	g.log = log.WithField("generation", g.Number)
	words := make(chan *handoff.Message, 16) // nil: the connection has ended
	listen := func(c *handoff.Conn) {
		for {
			w, err := c.Receive()
			if err != nil {
				w = nil
			}
			select {
			case words <- w:
			case <-ctx.Done():
				return
			}
			if w == nil {
				return
			}
		}
	}
	g.say(&handoff.Message{Kind: handoff.KindHello, Format: handoff.Format, Generation: g.Number, PID: os.Getpid()})
	go listen(g.conn)
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	called := time.Now()
	for {
		var do []upgrade.AgentEffect
		select {
		case <-ctx.Done():
			return nil
		case s := <-term:
			g.log.WithField("signal", s.String()).Info("shutting down")
			do = g.part.Handle(g.now(), upgrade.AgentInputEnd)
		case w := <-words:
			do = g.heard(host, w)
		case w := <-g.came:
			g.say(w)
			continue
		case <-beat.C:
			g.beat(host)
			continue
		case <-wake.C:
			if do = g.part.Tick(g.now()); do == nil && g.part.State.WantsLock() && g.take() {
				do = g.part.Handle(g.now(), upgrade.AgentInputLockAcquired)
			}
			if !g.told && host.Ready() {
				g.told = true
				g.say(&handoff.Message{Kind: handoff.KindReady, Generation: g.Number})
			}
			if g.conn == nil && time.Since(called) >= callEvery {
				called = time.Now()
				if g.call() {
					go listen(g.conn)
				}
			}
		}
		if over, err := g.carryOut(host, do); over || err != nil {
			return err
		}
		next := callEvery
		switch {
		case g.part.State.WantsLock():
			next = placeEvery
		case !g.told:
			next = soon
		case g.part.DueMicros() > 0:
			next = min(next, time.Duration(max(g.part.DueMicros()-g.now(), 1))*time.Microsecond)
		}
		wake.Reset(next)
	}
}

func (g *Agent) beat(host Host) {
	w := host.Heartbeat()
	w.Kind, w.AgentState = handoff.KindHeartbeat, g.part.State
	g.say(w)
}

// SendHeartbeats goes on telling what is still out once Run has returned: the other
// generation's limits are for both together.
func (g *Agent) SendHeartbeats(ctx context.Context, host Host) {
	every := time.NewTicker(beatEvery)
	defer every.Stop()
	for {
		g.beat(host)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// inputs of words that only tell the part.
var inputs = map[handoff.Kind]upgrade.AgentInput{
	handoff.KindServe: upgrade.AgentInputServe, handoff.KindQuiesce: upgrade.AgentInputQuiesce, handoff.KindSuccessorServes: upgrade.AgentInputSuccessorServes,
	handoff.KindSettle: upgrade.AgentInputSettle, handoff.KindResume: upgrade.AgentInputResume, handoff.KindEnd: upgrade.AgentInputEnd,
}

func (g *Agent) heard(host Host, w *handoff.Message) []upgrade.AgentEffect {
	if w == nil {
		if g.conn != nil {
			g.conn.Close()
			g.conn = nil
			g.log.WithField("part", g.part.State.String()).Warn("keeper lost")
		}
		return g.part.Handle(g.now(), upgrade.AgentInputSupervisorLost)
	}
	switch w.Kind {
	case handoff.KindReload:
		host.Reload()
	case handoff.KindLimits:
		host.SetLimits(w.Limits)
	case handoff.KindOtherAttempts:
		host.SetOtherAttempts(w.OutstandingAttempts)
	case handoff.KindPeerMessage:
		host.SendToPeer(w.To, w.Body)
	case handoff.KindServe, handoff.KindResume:
		if w.State != nil {
			g.state, g.mine = w.State, false
		}
		g.hold = w.BudgetsMaybeSpent
	}
	in, known := inputs[w.Kind]
	if !known {
		return nil
	}
	return g.part.Handle(g.now(), in)
}

func (g *Agent) carryOut(host Host, do []upgrade.AgentEffect) (over bool, err error) {
	for _, e := range do {
		g.log.WithFields(logrus.Fields{"part": g.part.State.String(), "effect": e.String()}).Debug("change")
		switch e {
		case upgrade.AgentEffectAccept:
			if err := host.Acquire(g.state, g.mine, g.hold); err != nil {
				g.log.WithError(err).Error("change: what this generation is to own could not be had")
				return false, err
			}
			g.log.WithField("part", g.part.State.String()).Info("change: this generation serves")
		case upgrade.AgentEffectStop:
			g.state, g.mine, g.hold = host.Release(), true, true
			g.letGo()
			g.log.WithField("part", g.part.State.String()).Info("change: this generation takes nothing new")
		case upgrade.AgentEffectReleaseLock:
			g.letGo()
		case upgrade.AgentEffectDrain:
			return true, nil
		case upgrade.AgentEffectReportReleased:
			g.say(&handoff.Message{Kind: handoff.KindReleased, Generation: g.Number, State: g.state})
		case upgrade.AgentEffectReportAccepting:
			g.say(&handoff.Message{Kind: handoff.KindAccepting, Generation: g.Number})
		case upgrade.AgentEffectReportDenied:
			g.say(&handoff.Message{Kind: handoff.KindDenied, Generation: g.Number})
		case upgrade.AgentEffectReportSettled:
			g.say(&handoff.Message{Kind: handoff.KindSettled, Generation: g.Number})
		}
	}
	return false, nil
}

// ForwardMessage passes a letter of another router on to the keeper. It may be lost.
func (g *Agent) ForwardMessage(from string, body []byte) {
	select {
	case g.came <- &handoff.Message{Kind: handoff.KindPeerMessage, From: from, Body: body}:
	default:
	}
}

// say tells the keeper. Without one nothing is lost: a new one asks.
func (g *Agent) say(w *handoff.Message) {
	if g.conn != nil && g.conn.Send(w) != nil {
		g.conn.Close() // the reader notices
	}
}

// take tries to get the place. It stays with this process until it lets go, or ends.
func (g *Agent) take() bool {
	if !g.held {
		g.held = unix.Flock(int(g.place.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil
	}
	return g.held
}

func (g *Agent) letGo() {
	if g.held {
		unix.Flock(int(g.place.Fd()), unix.LOCK_UN)
		g.held = false
	}
}

// call looks for a keeper, and gives it the sockets.
func (g *Agent) call() bool {
	sock, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: filepath.Join(g.folder, SocketName), Net: "unix"})
	if err != nil {
		if !errors.Is(err, unix.ECONNREFUSED) && !errors.Is(err, os.ErrNotExist) && g.lastIn != err.Error() {
			g.lastIn = err.Error()
			g.log.WithError(err).Warn("no keeper to be found")
		}
		return false
	}
	c := handoff.NewConn(sock)
	var files []*os.File
	names := slices.Clone(g.names)
	for _, name := range names {
		files = append(files, g.Sockets[name])
	}
	if err := c.Send(&handoff.Message{
		Kind: handoff.KindHello, Format: handoff.Format, Generation: g.Number, PID: os.Getpid(), AgentState: g.part.State,
		WasSettled: g.part.Settled(), Sockets: names,
	}, files...); err != nil {
		c.Close()
		return false
	}
	g.conn = c
	g.log.Info("keeper found again")
	if g.told {
		g.say(&handoff.Message{Kind: handoff.KindReady, Generation: g.Number})
	}
	return true
}
