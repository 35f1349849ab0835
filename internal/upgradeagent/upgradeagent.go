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
	// Own takes what one generation owns, and accepts clients. State is what the
	// predecessor knew, nil at a start from nothing; mine: it is what Disown told, and
	// another generation has served since. Hold: somebody may have spent this router's
	// part of cold servers' budgets meanwhile.
	Own(state *handoff.State, mine, hold bool) error
	// Disown accepts nothing more, lets all of that go, and tells what is known.
	Disown() *handoff.State
	Bound(upgrade.Use)
	Beside(outs map[string][3]float64)
	Reload()
	Beat() *handoff.Word // Ends, Outs, Txns and Acts
	Ready() bool
	Post(to string, body []byte) // to another router of the site
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
	PlaceName  = "place"
)

// Generation is this process as its keeper knows it.
type Generation struct {
	Number  uint64
	Sockets map[string]*os.File // by name: "listen" at least

	folder string
	names  []string
	conn   *handoff.Conn
	place  *os.File
	held   bool
	log    *logrus.Entry
	start  time.Time
	part   *upgrade.Part
	state  *handoff.State // of the predecessor, or one's own from before
	mine   bool           // it is one's own
	hold   bool
	told   bool               // that it is ready
	came   chan *handoff.Word // letters of other routers
	lastIn string
}

// Inherit takes over what a keeper has handed down; nil without one.
func Inherit(env func(string) string) (*Generation, error) {
	folder := env(EnvFolder)
	if folder == "" {
		return nil, nil
	}
	n, err := strconv.ParseUint(env(EnvGeneration), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvGeneration, err)
	}
	g := &Generation{Number: n, Sockets: map[string]*os.File{}, folder: folder, names: strings.Split(env(EnvSockets), ","), start: time.Now(), part: upgrade.NewPart(),
		came: make(chan *handoff.Word, 64)}
	if g.conn, err = handoff.FromFile(os.NewFile(firstFD, "keeper")); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	for i, name := range g.names {
		unix.CloseOnExec(firstFD + 1 + i)
		g.Sockets[name] = os.NewFile(uintptr(firstFD+1+i), name)
	}
	if g.place, err = os.OpenFile(filepath.Join(folder, PlaceName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, fmt.Errorf("place: %w", err)
	}
	return g, nil
}

// Listener makes one of an inherited socket.
func (g *Generation) Listener(name string) (net.Listener, error) {
	f := g.Sockets[name]
	if f == nil {
		return nil, fmt.Errorf("the keeper has handed down no socket for %s", name)
	}
	return net.FileListener(f)
}

// UDP makes a socket for datagrams of an inherited one.
func (g *Generation) UDP(name string) (*net.UDPConn, error) {
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

func (g *Generation) now() int64 { return time.Since(g.start).Microseconds() }

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
func (g *Generation) Run(ctx context.Context, host Host, term <-chan os.Signal, log *logrus.Entry) error {
	g.log = log.WithField("generation", g.Number)
	words := make(chan *handoff.Word, 16) // nil: the connection has ended
	listen := func(c *handoff.Conn) {
		for {
			w, err := c.Hear()
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
	g.say(&handoff.Word{Kind: handoff.Hello, Format: handoff.Format, Generation: g.Number, PID: os.Getpid()})
	go listen(g.conn)
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	called := time.Now()
	for {
		var do []upgrade.PartEffect
		select {
		case <-ctx.Done():
			return nil
		case s := <-term:
			g.log.WithField("signal", s.String()).Info("shutting down")
			do = g.part.Handle(g.now(), upgrade.ToEnd)
		case w := <-words:
			do = g.heard(host, w)
		case w := <-g.came:
			g.say(w)
			continue
		case <-beat.C:
			g.beat(host)
			continue
		case <-wake.C:
			if do = g.part.Tick(g.now()); do == nil && g.part.State.Wants() && g.take() {
				do = g.part.Handle(g.now(), upgrade.Free)
			}
			if !g.told && host.Ready() {
				g.told = true
				g.say(&handoff.Word{Kind: handoff.Ready, Generation: g.Number})
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
		case g.part.State.Wants():
			next = placeEvery
		case !g.told:
			next = soon
		case g.part.Due() > 0:
			next = min(next, time.Duration(max(g.part.Due()-g.now(), 1))*time.Microsecond)
		}
		wake.Reset(next)
	}
}

func (g *Generation) beat(host Host) {
	w := host.Beat()
	w.Kind, w.Part = handoff.Beat, g.part.State
	g.say(w)
}

// Beats goes on telling what is still out once Run has returned: the other
// generation's limits are for both together.
func (g *Generation) Beats(ctx context.Context, host Host) {
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
var inputs = map[handoff.Kind]upgrade.PartInput{handoff.Own: upgrade.ToOwn, handoff.Quiet: upgrade.ToQuiet, handoff.Taken: upgrade.ToTaken,
	handoff.Settle: upgrade.ToSettle, handoff.Resume: upgrade.ToResume, handoff.End: upgrade.ToEnd}

func (g *Generation) heard(host Host, w *handoff.Word) []upgrade.PartEffect {
	if w == nil {
		if g.conn != nil {
			g.conn.Close()
			g.conn = nil
			g.log.WithField("part", g.part.State.String()).Warn("keeper lost")
		}
		return g.part.Handle(g.now(), upgrade.Lost)
	}
	switch w.Kind {
	case handoff.Reload:
		host.Reload()
	case handoff.Bound:
		host.Bound(w.Bound)
	case handoff.Beside:
		host.Beside(w.Outs)
	case handoff.Letter:
		host.Post(w.To, w.Body)
	case handoff.Own, handoff.Resume:
		if w.State != nil {
			g.state, g.mine = w.State, false
		}
		g.hold = w.Hold
	}
	in, known := inputs[w.Kind]
	if !known {
		return nil
	}
	return g.part.Handle(g.now(), in)
}

func (g *Generation) carryOut(host Host, do []upgrade.PartEffect) (over bool, err error) {
	for _, e := range do {
		g.log.WithFields(logrus.Fields{"part": g.part.State.String(), "effect": e.String()}).Debug("change")
		switch e {
		case upgrade.Accept:
			if err := host.Own(g.state, g.mine, g.hold); err != nil {
				g.log.WithError(err).Error("change: what this generation is to own could not be had")
				return false, err
			}
			g.log.WithField("part", g.part.State.String()).Info("change: this generation serves")
		case upgrade.Stop:
			g.state, g.mine, g.hold = host.Disown(), true, true
			g.letGo()
			g.log.WithField("part", g.part.State.String()).Info("change: this generation takes nothing new")
		case upgrade.LetGo:
			g.letGo()
		case upgrade.Drain:
			return true, nil
		case upgrade.TellReleased:
			g.say(&handoff.Word{Kind: handoff.Released, Generation: g.Number, State: g.state})
		case upgrade.TellAccepting:
			g.say(&handoff.Word{Kind: handoff.Accepting, Generation: g.Number})
		case upgrade.TellDenied:
			g.say(&handoff.Word{Kind: handoff.Denied, Generation: g.Number})
		case upgrade.TellSettled:
			g.say(&handoff.Word{Kind: handoff.Settled, Generation: g.Number})
		}
	}
	return false, nil
}

// Letter passes a letter of another router on to the keeper. It may be lost.
func (g *Generation) Letter(from string, body []byte) {
	select {
	case g.came <- &handoff.Word{Kind: handoff.Letter, From: from, Body: body}:
	default:
	}
}

// say tells the keeper. Without one nothing is lost: a new one asks.
func (g *Generation) say(w *handoff.Word) {
	if g.conn != nil && g.conn.Say(w) != nil {
		g.conn.Close() // the reader notices
	}
}

// take tries to get the place. It stays with this process until it lets go, or ends.
func (g *Generation) take() bool {
	if !g.held {
		g.held = unix.Flock(int(g.place.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil
	}
	return g.held
}

func (g *Generation) letGo() {
	if g.held {
		unix.Flock(int(g.place.Fd()), unix.LOCK_UN)
		g.held = false
	}
}

// call looks for a keeper, and gives it the sockets.
func (g *Generation) call() bool {
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
	if err := c.Say(&handoff.Word{Kind: handoff.Hello, Format: handoff.Format, Generation: g.Number, PID: os.Getpid(), Part: g.part.State,
		WasSettled: g.part.Settled(), Sockets: names}, files...); err != nil {
		c.Close()
		return false
	}
	g.conn = c
	g.log.Info("keeper found again")
	if g.told {
		g.say(&handoff.Word{Kind: handoff.Ready, Generation: g.Number})
	}
	return true
}
