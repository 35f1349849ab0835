// Package gateway joins this router to routers of another site: it carries out on
// connections what package crossing decides. It dials each peer, and hands txns
// over on that connection; what peers hand over comes on those that they dialled.
package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/policy"
)

// Peer is one as the operator names it.
type Peer struct{ Name, Site, Addr string }

// Config of a gateway.
type Config struct {
	Settings peerpolicy.Settings
	Peers    []Peer
	Keys     *Keys // nil: connections without TLS, for tests
	// MaxUploadBytes and Answer bound the bodies of writes and of answers, in bytes.
	MaxUploadBytes, MaxAnswerBytes int
	MaxRequestTime                 time.Duration // a peer's txn has at the most
	Seed                           uint64
}

// Request is a txn of a client, to be handed over or as a peer hands it over.
type Request struct {
	Event    policy.Event // Remaining is what is left of its time
	Tag      string
	Body     *bufferpool.Body
	Effect   peerpolicy.Effect
	NeverRan bool
}

// Reply is how it ended.
type Reply struct {
	Outcome      peerpolicy.Outcome
	NeverRan     bool // of Rejected: it never ran
	NotModified  bool
	RetryAfter   int64
	Tag          string
	IssuedMillis int64
	Body         *bufferpool.Body
}

// Host is the router that a gateway belongs to.
type Host interface {
	// Execute runs a txn of a peer to its end; left is closed when the peer gives it up.
	Execute(left <-chan struct{}, q *Request) Reply
	// Purges are those that bind a txn and that its caches may not have done yet.
	Purges(object string, group int64) []peerproto.Purge
	// Purge takes one that a peer knows.
	Purge(object string, group, at int64)
}

// Gateway is a running one.
type Gateway struct {
	config Config
	host   Host
	bodies *bufferpool.Pool
	log    *logrus.Entry
	start  time.Time

	mu     sync.Mutex // for the gate and what follows; never held over I/O
	gate   *peerpolicy.Controller
	links  map[string]*link // to peers that we dialled, once greeted
	calls  map[string]*call // what is across
	drains bool

	ctx  context.Context
	stop context.CancelFunc
	all  sync.WaitGroup
	l    net.Listener
}

// call is a txn that was handed over.
type call struct {
	link   *link
	number uint32
	done   func(Reply)
	least  int64
	answer *peerproto.Answer
	body   *bufferpool.Body
	left   int // bytes of the body to come
}

// incarnation rises with each start, by the clock; a start within the same
// microsecond, or with the clock set back, is a ghost until it is ahead again.
func incarnation() uint64 { return uint64(time.Now().UnixMicro()) }

// Start serves peers on a listener and dials them.
func Start(config Config, l net.Listener, host Host, bodies *bufferpool.Pool, log *logrus.Entry) *Gateway {
	peers := map[string]string{}
	for _, p := range config.Peers {
		peers[p.Name] = p.Site
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{
		config: config, host: host, bodies: bodies, log: log, start: time.Now(), gate: peerpolicy.New(config.Settings, peers),
		links: map[string]*link{}, calls: map[string]*call{}, ctx: ctx, stop: stop, l: l,
	}
	own := incarnation()
	g.all.Go(func() { g.serve(own) })
	for i, p := range config.Peers {
		dice := rand.New(rand.NewPCG(config.Seed, uint64(i)))
		g.all.Go(func() { g.dial(p, own, dice) })
	}
	g.all.Go(g.tick)
	return g
}

// now is a clock that only goes forward.
func (g *Gateway) now() int64 { return time.Since(g.start).Microseconds() + 1 }

// Drain tells peers that nothing new is taken, and hands nothing over any more.
func (g *Gateway) Drain() {
	g.mu.Lock()
	g.drains = true
	links := g.every()
	g.mu.Unlock()
	for _, k := range links {
		k.beat()
	}
}

// StopAccepting takes no further connections of peers: another generation of this router
// does, on the same socket.
func (g *Gateway) StopAccepting() { g.l.Close() }

// Idle tells whether nothing is across, either way.
func (g *Gateway) Idle() bool {
	s := g.Status()
	return s.ForwardedInFlight == 0 && s.InboundInFlight == 0
}

// Close ends all connections. What is across ends as with a cut link.
func (g *Gateway) Close() {
	g.stop()
	g.l.Close()
	g.mu.Lock()
	links := g.every()
	g.mu.Unlock()
	for _, k := range links {
		k.close()
	}
	g.all.Wait()
}

// every link, dialled or accepted. It is called with the lock.
func (g *Gateway) every() (out []*link) {
	for _, k := range g.links {
		out = append(out, k)
	}
	return out
}

// act carries out what the gate has decided. It is called with the lock, which it
// gives back.
func (g *Gateway) act() {
	var todo []func()
	for _, a := range g.gate.Actions() {
		switch a.Kind {
		case peerpolicy.ActionDisconnect:
			if k := g.links[a.Peer]; k != nil {
				delete(g.links, a.Peer)
				todo = append(todo, k.close)
			}
		case peerpolicy.ActionWithdraw:
			if c := g.calls[a.RequestID]; c != nil {
				todo = append(todo, func() { c.link.cancel(c.number) })
			}
		case peerpolicy.ActionAnswer:
			if c := g.calls[a.RequestID]; c != nil {
				r := Reply{Outcome: a.Outcome}
				if a.Outcome == peerpolicy.OutcomeCompleted {
					r.NotModified, r.Tag, r.IssuedMillis, r.Body = c.answer.NotModified, c.answer.Tag, c.answer.IssuedMillis, c.body
					c.body = nil
				} else if c.answer != nil {
					r.RetryAfter = c.answer.RetryAfter
				}
				g.forget(a.RequestID)
				todo = append(todo, func() { c.done(r) })
			}
		}
	}
	g.mu.Unlock()
	for _, do := range todo {
		do()
	}
}

// forget ends a call's books.
func (g *Gateway) forget(txn string) {
	if c := g.calls[txn]; c != nil {
		delete(g.calls, txn)
		delete(c.link.calls, c.number)
		c.body.Release()
		c.body = nil
	}
}

// Forward hands a txn over that the module has refused. Done is called once, from
// another goroutine, unless Leave comes first; false: it was not handed over.
func (g *Gateway) Forward(q *Request, done func(Reply)) bool {
	id := q.Event.Request
	purges := g.host.Purges(q.Event.Object, q.Event.Group)
	g.mu.Lock()
	now := g.now()
	if g.drains {
		g.mu.Unlock()
		return false
	}
	p, reason := g.gate.Forward(now, &peerpolicy.Request{RequestID: id, Effect: q.Effect, NeverRan: q.NeverRan, Deadline: now + q.Event.Remaining})
	if reason != peerpolicy.ReasonOK {
		g.mu.Unlock()
		return false
	}
	k := g.links[p.Name]
	if k == nil {
		g.gate.Unsent(id)
		g.gate.Actions()
		g.mu.Unlock()
		return false
	}
	k.next++
	c := &call{link: k, number: k.next, done: done}
	for _, u := range purges {
		c.least = max(c.least, (u.At+999)/1000)
	}
	g.calls[id], k.calls[c.number] = c, id
	ask := peerproto.Request{
		SentAt: now, Budget: g.gate.Budget(now, id), RequestID: id, Class: q.Event.Class, Object: q.Event.Object, Part: q.Event.Part,
		Group: q.Event.Group, Tag: q.Tag, Repeat: q.Event.ClientRetry, Write: q.Event.Write, BodyBytes: int32(q.Body.Len()),
		Route: []string{g.config.Settings.Name}, Purges: purges,
	}
	b, err := peerproto.Append(nil, peerproto.KindRequest, c.number, &ask)
	for _, chunk := range q.Body.AppendBuffers(nil) {
		for len(chunk) > 0 && err == nil {
			n := min(len(chunk), peerproto.MaxPayload)
			b, err = peerproto.AppendRaw(b, peerproto.KindData, c.number, chunk[:n])
			chunk = chunk[n:]
		}
	}
	if err != nil { // a name too long for a frame
		g.gate.Unsent(id)
		g.gate.Actions()
		g.forget(id)
		g.mu.Unlock()
		return false
	}
	// From here on it may come whole. A queue that has no room is proof that it doesn't.
	if !g.gate.MarkSent(id) || !k.put(b) {
		g.gate.Withdrawn(id)
		g.gate.Actions()
		g.forget(id)
		g.mu.Unlock()
		return false
	}
	g.mu.Unlock()
	return true
}

// Cancel says that the client of a txn that is across has gone.
func (g *Gateway) Cancel(txn string) {
	g.mu.Lock()
	g.gate.ClientGone(txn)
	c := g.calls[txn]
	g.forget(txn)
	g.act()
	if c != nil {
		c.link.cancel(c.number)
	}
}

// ObserveLocal tells how the module ended a txn of this site.
func (g *Gateway) ObserveLocal(refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.ObserveLocal(g.now(), refused)
}

// tick sends beats and does what time brings.
func (g *Gateway) tick() {
	every := time.NewTicker(time.Duration(g.config.Settings.HeartbeatInterval) * time.Microsecond / 4)
	defer every.Stop()
	for n := 0; ; n++ {
		select {
		case <-g.ctx.Done():
			return
		case <-every.C:
		}
		g.mu.Lock()
		g.gate.Tick(g.now())
		var links []*link
		if n%4 == 0 {
			links = g.every()
		}
		g.act() // unlocks
		for _, k := range links {
			k.beat()
		}
	}
}

// dial keeps a connection to a peer. After a failure it waits, doubling, by chance
// up to half longer, so that routers that lost one peer don't come back as one.
func (g *Gateway) dial(p Peer, own uint64, dice *rand.Rand) {
	const first, most = 50 * time.Millisecond, 2 * time.Second
	wait, told := first, ""
	for g.ctx.Err() == nil {
		err := g.connect(p, own)
		if err == nil || errors.Is(err, errEnded) {
			wait, told = first, ""
		}
		if g.ctx.Err() != nil {
			return
		}
		if text := reasonOf(err); text != told {
			told = text
			g.log.WithFields(logrus.Fields{"peer": p.Name, "reason": text}).WithError(err).Warn("gateway: no connection to a peer")
		}
		select {
		case <-g.ctx.Done():
		case <-time.After(wait + time.Duration(dice.Int64N(int64(wait)/2))):
		}
		wait = min(2*wait, most)
	}
}

// errEnded is behind the end of a connection that stood.
var errEnded = errors.New("connection ended")

const greetWithin = 2 * time.Second // a handshake and a greeting over any distance

func (g *Gateway) connect(p Peer, own uint64) error {
	d := net.Dialer{Timeout: greetWithin}
	sock, err := d.DialContext(g.ctx, "tcp", p.Addr)
	if err != nil {
		return err
	}
	defer sock.Close()
	sock.SetDeadline(time.Now().Add(greetWithin))
	if g.config.Keys != nil {
		c := tls.Client(sock, g.config.Keys.client(p.Name))
		if err := c.HandshakeContext(g.ctx); err != nil {
			return err
		}
		sock = c
	}
	k := newLink(g, sock, p.Name)
	if err := k.greet(own); err != nil {
		return err
	}
	hello, err := k.hello()
	if err != nil {
		return err
	}
	if hello.Name != p.Name || hello.Site != p.Site {
		return fmt.Errorf("%w: it calls itself %.40q of %.40q", peerproto.ErrMalformed, hello.Name, hello.Site)
	}
	sock.SetDeadline(time.Time{})
	g.mu.Lock()
	if !g.gate.Connected(g.now(), p.Name, hello.Incarnation) {
		g.mu.Unlock()
		return fmt.Errorf("%w: an earlier start of it", peerproto.ErrMalformed)
	}
	g.links[p.Name] = k
	g.act()
	g.log.WithFields(logrus.Fields{"peer": p.Name, "site": p.Site}).Info("gateway: connected")
	g.all.Go(k.write)
	k.beat()
	err = k.readAnswers()
	k.close()
	g.mu.Lock()
	if g.links[p.Name] == k {
		delete(g.links, p.Name)
		g.gate.Disconnected(p.Name)
	}
	g.act()
	g.log.WithField("peer", p.Name).WithError(err).Info("gateway: connection lost")
	return fmt.Errorf("%w: %w", errEnded, err)
}

// serve takes connections of peers.
func (g *Gateway) serve(own uint64) {
	// Each peer keeps one, and a new one while the old is not known to be dead;
	// the rest is for strangers, who are closed at their greeting.
	room := make(chan struct{}, 2*len(g.config.Peers)+16)
	for {
		sock, err := g.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors, most likely
			select {
			case <-g.ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			sock.Close()
			continue
		}
		g.all.Go(func() {
			defer func() { <-room }()
			defer sock.Close()
			if err := g.accept(sock, own); err != nil && g.ctx.Err() == nil {
				g.log.WithFields(logrus.Fields{"from": sock.RemoteAddr().String(), "reason": reasonOf(err)}).WithError(err).Debug("gateway: connection from a peer ended")
			}
		})
	}
}
