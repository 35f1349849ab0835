package gateway

import (
	"context"
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

// Peer is a router of another site as the operator names it.
type Peer struct{ Name, Site, Addr string }

// Config of a gateway.
type Config struct {
	Settings       peerpolicy.Settings
	Peers          []Peer
	Keys           *Keys // nil: connections without TLS, for tests
	MaxUploadBytes int   // of a write's body
	MaxAnswerBytes int   // of a response's body
	MaxRequestTime time.Duration
	Seed           uint64 // of the backoff's jitter
}

// Request is one that this router forwards, or that a peer has forwarded.
type Request struct {
	Event    policy.Event // Remaining is what is left of its time
	Tag      string       // ETag of the client's copy
	Body     *bufferpool.Body
	Effect   peerpolicy.Effect
	NeverRan bool
}

// Reply is how a request ended.
type Reply struct {
	Outcome      peerpolicy.Outcome
	NeverRan     bool // of OutcomeRejected: it was not executed
	NotModified  bool
	RetryAfter   int64 // microseconds
	Tag          string
	IssuedMillis int64 // Unix milliseconds of the copy's issue by the origin
	Body         *bufferpool.Body
}

// Host is the router that a gateway belongs to.
type Host interface {
	// Execute runs a peer's request to its end; clientGone is closed when the peer gives
	// it up.
	Execute(clientGone <-chan struct{}, request *Request) Reply
	// Purges are those that cover a request and that the peer's caches may not have done.
	Purges(object string, group int64) []peerproto.Purge
	// Purge takes one that a peer knows, made at the given Unix microseconds.
	Purge(object string, group, at int64)
}

// Gateway is a running one.
type Gateway struct {
	config   Config
	host     Host
	bodies   *bufferpool.Pool
	log      *logrus.Entry
	start    time.Time
	listener net.Listener

	mu         sync.Mutex
	controller *peerpolicy.Controller
	links      map[string]*link // by peer where dialled, else by peer and address
	forwarded  map[string]*forwardedCall
	draining   bool

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start serves peers on a listener and dials them.
func Start(config Config, listener net.Listener, host Host, bodies *bufferpool.Pool, log *logrus.Entry) *Gateway {
	sites := map[string]string{}
	for _, peer := range config.Peers {
		sites[peer.Name] = peer.Site
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		config:     config,
		host:       host,
		bodies:     bodies,
		log:        log,
		start:      time.Now(),
		listener:   listener,
		controller: peerpolicy.New(config.Settings, sites),
		links:      map[string]*link{},
		forwarded:  map[string]*forwardedCall{},
		ctx:        ctx,
		cancel:     cancel,
	}
	incarnation := newIncarnation()
	g.goroutines.Go(func() { g.acceptPeers(incarnation) })
	for i, peer := range config.Peers {
		jitter := rand.New(rand.NewPCG(config.Seed, uint64(i)))
		g.goroutines.Go(func() { g.keepConnected(peer, incarnation, jitter) })
	}
	g.goroutines.Go(g.runTicker)
	return g
}

// newIncarnation rises with each start, by the clock. A start within the same microsecond,
// or with the clock set back, is refused by peers until it is ahead again.
func newIncarnation() uint64 { return uint64(time.Now().UnixMicro()) }

// now is a steady clock in microseconds, above 0.
func (g *Gateway) now() int64 { return time.Since(g.start).Microseconds() + 1 }

// Drain tells peers that nothing new is admitted, and forwards nothing any more.
func (g *Gateway) Drain() {
	g.mu.Lock()
	g.draining = true
	links := g.allLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.sendHeartbeat()
	}
}

// StopAccepting takes no further connections of peers: another generation of this router
// does, on the same socket.
func (g *Gateway) StopAccepting() { g.listener.Close() }

// Idle tells whether no request is in flight, either way.
func (g *Gateway) Idle() bool {
	s := g.Status()
	return s.ForwardedInFlight == 0 && s.InboundInFlight == 0
}

// Close ends all connections. Requests that are in flight end as with a cut link.
func (g *Gateway) Close() {
	g.cancel()
	g.listener.Close()
	g.mu.Lock()
	links := g.allLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	g.goroutines.Wait()
}

// allLinks are those dialled and accepted. It is called with the lock.
func (g *Gateway) allLinks() (links []*link) {
	for _, l := range g.links {
		links = append(links, l)
	}
	return links
}

// ObserveLocal tells whether a request of this site was rejected.
func (g *Gateway) ObserveLocal(rejected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.ObserveLocal(g.now(), rejected)
}

// runTicker sends heartbeats and does what time brings.
func (g *Gateway) runTicker() {
	ticker := time.NewTicker(time.Duration(g.config.Settings.HeartbeatInterval) * time.Microsecond / peerpolicy.TicksPerHeartbeat)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		g.controller.Tick(g.now())
		var links []*link
		if tick%peerpolicy.TicksPerHeartbeat == 0 {
			links = g.allLinks()
		}
		g.applyActions() // gives the lock back
		for _, l := range links {
			l.sendHeartbeat()
		}
	}
}

// applyActions carries out what the controller has decided. It is called with the lock,
// which it gives back.
func (g *Gateway) applyActions() {
	var todo []func()
	for _, action := range g.controller.Actions() {
		if do := g.prepareAction(action); do != nil {
			todo = append(todo, do)
		}
	}
	g.mu.Unlock()
	for _, do := range todo {
		do()
	}
}

// prepareAction does an action's bookkeeping, and gives what is to be done without the lock.
func (g *Gateway) prepareAction(action peerpolicy.Action) (do func()) {
	switch action.Kind {
	case peerpolicy.ActionDisconnect:
		if l := g.links[action.Peer]; l != nil {
			delete(g.links, action.Peer)
			return l.close
		}
	case peerpolicy.ActionWithdraw:
		if call := g.forwarded[action.RequestID]; call != nil {
			return func() { call.link.cancel(call.number) }
		}
	case peerpolicy.ActionAnswer:
		if c := g.forwarded[action.RequestID]; c != nil {
			reply := c.takeReply(action.Outcome)
			g.forgetCall(action.RequestID)
			return func() { c.respond(reply) }
		}
	}
	return nil
}
