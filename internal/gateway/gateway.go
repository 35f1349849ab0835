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

// Peer is a router of another site, as configured by the operator.
type Peer struct{ Name, Site, Addr string }

// Config is the configuration of a gateway.
type Config struct {
	Settings       peerpolicy.Settings
	Peers          []Peer
	Keys           *Keys         // nil: connections without TLS, for tests
	MaxUploadBytes int           // bound on the body of a write request
	MaxAnswerBytes int           // bound on the body of a response
	MaxRequestTime time.Duration // bound on the time budget of a peer's request
	Seed           uint64        // of the jitter of the reconnect backoff
}

// Request is a request that this router forwards, or that a peer has forwarded to it.
type Request struct {
	Event    policy.Event // Event.Remaining is the time left until the deadline
	Tag      string       // ETag of the client's copy
	Body     *bufferpool.Body
	Effect   peerpolicy.Effect
	NeverRan bool // no attempt of it can have been executed
}

// Reply is the result of a forwarded request.
type Reply struct {
	Outcome      peerpolicy.Outcome
	NeverRan     bool // of OutcomeRejected: the request was not executed
	NotModified  bool
	RetryAfter   int64 // microseconds
	Tag          string
	IssuedMillis int64 // when the origin issued the copy, in Unix milliseconds
	Body         *bufferpool.Body
}

// Host is the router that a gateway belongs to.
type Host interface {
	// Execute runs a peer's request and returns its result. The channel is closed when the
	// peer cancels the request or its connection ends.
	Execute(cancelled <-chan struct{}, request *Request) Reply
	// Purges returns the purges that cover a request and that the peer's caches may not
	// have applied.
	Purges(object string, group int64) []peerproto.Purge
	// Purge applies a purge received from a peer. It was issued at the given time, in Unix
	// microseconds.
	Purge(object string, group, at int64)
}

// Gateway exchanges requests with the routers of other sites.
type Gateway struct {
	config   Config
	host     Host
	bodies   *bufferpool.Pool
	log      *logrus.Entry
	start    time.Time
	listener net.Listener

	mu         sync.Mutex
	controller *peerpolicy.Controller
	links      map[string]*link          // dialled: by peer name; accepted: by peer name and remote address
	forwarded  map[string]*forwardedCall // by request ID
	draining   bool

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start accepts connections of peers on a listener and dials each peer.
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

// newIncarnation returns a number that rises with each start of a router: the wall clock in
// Unix microseconds. Peers refuse a router that starts after its clock was set back, until
// the clock is past the previous incarnation. Two starts within the same microsecond have
// the same incarnation.
func newIncarnation() uint64 { return uint64(time.Now().UnixMicro()) }

// now returns the time of a monotonic clock in microseconds. It is never 0: in heartbeats, a
// time of 0 stands for none.
func (g *Gateway) now() int64 { return time.Since(g.start).Microseconds() + 1 }

// Drain announces to all peers that this router drains, and stops forwarding requests.
func (g *Gateway) Drain() {
	g.mu.Lock()
	g.draining = true
	links := g.allLinks()
	g.mu.Unlock()
	for _, l := range links {
		l.sendHeartbeat()
	}
}

// StopAccepting closes the listener. The next generation of this router accepts the peers'
// connections on the same socket.
func (g *Gateway) StopAccepting() { g.listener.Close() }

// Idle reports whether no request is in flight in either direction.
func (g *Gateway) Idle() bool {
	status := g.Status()
	return status.ForwardedInFlight == 0 && status.InboundInFlight == 0
}

// Close closes all connections. Requests in flight end as they do when a connection is lost.
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

// allLinks returns the dialled and the accepted links. The caller holds the lock.
func (g *Gateway) allLinks() (links []*link) {
	for _, l := range g.links {
		links = append(links, l)
	}
	return links
}

// ObserveLocal records whether a request of this site was rejected.
func (g *Gateway) ObserveLocal(rejected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.ObserveLocal(g.now(), rejected)
}

// runTicker calls the controller's Tick at intervals and sends the heartbeats.
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
		g.applyActions() // releases the lock
		for _, l := range links {
			l.sendHeartbeat()
		}
	}
}

// applyActions carries out the actions that the controller has decided on. The caller holds
// the lock, and applyActions releases it.
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

// prepareAction updates the gateway's state for an action and returns the part of the action
// that runs without the lock; nil: none. The caller holds the lock.
func (g *Gateway) prepareAction(action peerpolicy.Action) (do func()) {
	switch action.Kind {
	case peerpolicy.ActionDisconnect:
		if l := g.links[action.Peer]; l != nil {
			delete(g.links, action.Peer)
			return l.close
		}
	case peerpolicy.ActionCancel:
		if call := g.forwarded[action.RequestID]; call != nil {
			return func() { call.link.sendCancel(call.number) }
		}
	case peerpolicy.ActionAnswer:
		if call := g.forwarded[action.RequestID]; call != nil {
			reply := call.takeReply(action.Outcome)
			g.removeCall(action.RequestID)
			return func() { call.respond(reply) }
		}
	}
	return nil
}
