package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/policy"
	"quilldoor/internal/testsupport"
)

// wire is a proxy between two sites that can be delayed and cut, each way alone.
type wire struct {
	net.Listener
	to    string
	delay atomic.Int64
	dead  [2]atomic.Bool // what goes there, what comes back: swallowed
	mu    sync.Mutex
	open  []net.Conn
}

func newWire(t *testing.T, to string) *wire {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{Listener: l, to: to}
	t.Cleanup(func() { l.Close(); w.cut() })
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", w.to)
			if err != nil {
				a.Close()
				continue
			}
			w.mu.Lock()
			w.open = append(w.open, a, b)
			w.mu.Unlock()
			go w.pass(a, b, 0)
			go w.pass(b, a, 1)
		}
	}()
	return w
}

func (w *wire) pass(from, to net.Conn, way int) {
	defer to.Close()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(w.delay.Load()))
		if w.dead[way].Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (w *wire) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.open {
		c.Close()
	}
	w.open = nil
}

// side is a gateway with a scripted host.
type side struct {
	*Gateway
	hook    *logtest.Hook
	pool    *bufferpool.Pool
	addr    string
	execute func(left <-chan struct{}, q *Request) Reply
	known   []peerproto.Purge
	mu      sync.Mutex
	purges  []string
	ran     map[string]int
}

func (s *side) Execute(left <-chan struct{}, q *Request) Reply {
	s.mu.Lock()
	s.ran[q.Event.Request]++
	carry := s.execute
	s.mu.Unlock()
	return carry(left, q)
}

// executes scripts the host.
func (s *side) executes(carry func(left <-chan struct{}, q *Request) Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.execute = carry
}

// executesUntilGone lets each request run until its client is gone, and tells of each end.
func (s *side) executesUntilGone() (ended <-chan struct{}) {
	ends := make(chan struct{}, 9)
	s.executes(func(left <-chan struct{}, _ *Request) Reply {
		<-left
		ends <- struct{}{}
		return Reply{Outcome: peerpolicy.OutcomeAborted}
	})
	return ends
}

// expectNoneRanTwice fails the test if a request was executed twice, and returns how many were executed.
func (s *side) expectNoneRanTwice(t *testing.T) (ran int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for request, n := range s.ran {
		if n > 1 {
			t.Errorf("request %s run %d times", request, n)
		}
	}
	return len(s.ran)
}

func (s *side) Purges(string, int64) []peerproto.Purge { return s.known }
func (s *side) Purge(object string, group, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purges = append(s.purges, fmt.Sprintf("%q %d %d", object, group, at))
}

func (s *side) body(text string) *bufferpool.Body {
	b, err := s.pool.ReadBody(strings.NewReader(text), len(text))
	if err != nil {
		panic(err)
	}
	return b
}

func text(b *bufferpool.Body) string { return string(bytes.Join(b.AppendBuffers(nil), nil)) }

func newSide(t testing.TB, name, site string, peers []Peer, keys *Keys) *side {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	s := &side{hook: hook, pool: bufferpool.NewPool(4 << 20), addr: l.Addr().String(), ran: map[string]int{}}
	s.execute = func(_ <-chan struct{}, q *Request) Reply {
		return Reply{Outcome: peerpolicy.OutcomeCompleted, Tag: "tag", IssuedMillis: 1000, Body: s.body("answer to " + q.Event.Object)}
	}
	s.Gateway = Start(Config{
		Peers: peers, Keys: keys, MaxUploadBytes: 48_000, MaxAnswerBytes: 240_000, MaxRequestTime: 5 * time.Second, Seed: 1,
		Settings: peerpolicy.Settings{Name: name, Site: site, MaxRequests: 100, LocalReserve: 0.2, HeartbeatInterval: 40_000},
	}, l, s, s.pool, log.WithField("side", name))
	t.Cleanup(s.Close)
	return s
}

func (s *side) isConnected() bool {
	s.Gateway.mu.Lock()
	defer s.Gateway.mu.Unlock()
	p := s.controller.Peer("s")
	return p.State == peerpolicy.StateHealthy && p.Capacity > 0
}

// pair is two sites, north forwards to south through a wire.
func pair(t *testing.T) (north, south *side, w *wire) {
	t.Helper()
	south = newSide(t, "s", "south", []Peer{{"n", "north", "127.0.0.1:1"}}, nil)
	w = newWire(t, south.addr)
	north = newSide(t, "n", "north", []Peer{{"s", "south", w.Addr().String()}}, nil)
	testsupport.WaitUntil(t, "a healthy peer", func() bool { return north.isConnected() })
	return north, south, w
}

var count atomic.Int64

// send forwards a request, and returns how it ended; nil: it was not forwarded.
func (s *side) send(effect peerpolicy.Effect, object string, body *bufferpool.Body, within time.Duration) chan Reply {
	out := make(chan Reply, 9)
	q := &Request{Event: policy.Event{
		Request: fmt.Sprintf("%016x", count.Add(1)), Class: "r", Object: object, Group: 7,
		Remaining: within.Microseconds(), Write: body != nil,
	}, Effect: effect, NeverRan: true, Body: body}
	if !s.Forward(q, func(r Reply) { out <- r }) {
		return nil
	}
	return out
}

// awaitReply returns the first end of a request.
func awaitReply(t *testing.T, replies chan Reply) Reply {
	t.Helper()
	if replies == nil {
		t.Fatal("not forwarded")
	}
	select {
	case reply := <-replies:
		return reply
	case <-time.After(5 * time.Second):
		t.Fatal("no end")
	}
	return Reply{}
}

// expectNoSecondReply fails the test where a request ends twice.
func expectNoSecondReply(t *testing.T, replies chan Reply) {
	t.Helper()
	select {
	case again := <-replies:
		t.Fatalf("a second end: %+v", again)
	case <-time.After(20 * time.Millisecond):
	}
}

// get returns the one end of a request.
func get(t *testing.T, replies chan Reply) Reply {
	t.Helper()
	reply := awaitReply(t, replies)
	expectNoSecondReply(t, replies)
	return reply
}

func TestForwardedRequestIsAnswered(t *testing.T) {
	north, south, _ := pair(t)
	r := get(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second))
	if r.Outcome != peerpolicy.OutcomeCompleted || text(r.Body) != "answer to film" || r.Tag != "tag" || r.IssuedMillis != 1000 {
		t.Fatalf("%+v %q", r, text(r.Body))
	}
	r.Body.Release()
	// Large bodies both ways, past the first window.
	long := strings.Repeat("0123456789abcdef", 15_000)
	south.executes(func(_ <-chan struct{}, q *Request) Reply {
		return Reply{Outcome: peerpolicy.OutcomeCompleted, Body: south.body(text(q.Body) + long[:240_000-q.Body.Len()])}
	})
	for range 5 {
		body := north.body(long[:48_000])
		r = get(t, north.send(peerpolicy.EffectUnsafe, "sign", body, time.Second))
		if want := long[:48_000] + long[:192_000]; r.Outcome != peerpolicy.OutcomeCompleted || text(r.Body) != want {
			t.Fatalf("%v, %d bytes", r.Outcome, r.Body.Len())
		}
		r.Body.Release()
		body.Release()
	}
	for want, far := range map[peerpolicy.Outcome]Reply{peerpolicy.OutcomeRejected: {Outcome: peerpolicy.OutcomeRejected, NeverRan: true, RetryAfter: 7}, peerpolicy.OutcomeAborted: {Outcome: peerpolicy.OutcomeAborted}} {
		south.executes(func(<-chan struct{}, *Request) Reply { return far })
		if r := get(t, north.send(peerpolicy.EffectUnsafe, "x", nil, time.Second)); r.Outcome != want {
			t.Errorf("%v for %+v", r.Outcome, far)
		}
	}
	testsupport.WaitUntil(t, "the end of all", func() bool { return north.Status().ForwardedInFlight == 0 && south.Status().InboundInFlight == 0 })
	for _, s := range []*side{north, south} { // all buffers are back
		for n := 0; n < 512; n++ {
			if _, err := s.pool.ReadBody(strings.NewReader("x"), 1); err != nil {
				t.Fatalf("%d buffers left of 512", n)
			}
		}
	}
}

// A peer that falls silent after it may have executed a request once led to a second
// execution when it came back.
func TestSilentPeerGetsOneOutcomeAndOneExecution(t *testing.T) {
	north, south, w := pair(t)
	running, wake := make(chan bool, 9), make(chan bool)
	south.executes(func(_ <-chan struct{}, _ *Request) Reply {
		running <- true
		<-wake
		return Reply{Outcome: peerpolicy.OutcomeCompleted}
	})
	for name, c := range map[string]struct {
		effect peerpolicy.Effect
		want   peerpolicy.Outcome
		fall   func()
	}{
		"cut, unsafe":           {peerpolicy.EffectUnsafe, peerpolicy.OutcomeAborted, w.cut},
		"cut, safe":             {peerpolicy.EffectIdempotent, peerpolicy.OutcomeRejected, w.cut},
		"answers lost, unsafe":  {peerpolicy.EffectUnsafe, peerpolicy.OutcomeAborted, func() { w.dead[1].Store(true) }},
		"requests lost, unsafe": {peerpolicy.EffectUnsafe, peerpolicy.OutcomeAborted, func() { w.dead[0].Store(true) }},
		"both lost, safe":       {peerpolicy.EffectIdempotent, peerpolicy.OutcomeRejected, func() { w.dead[0].Store(true); w.dead[1].Store(true) }},
	} {
		testsupport.WaitUntil(t, name+": a healthy peer", func() bool { return north.isConnected() })
		out := north.send(c.effect, name, nil, 3*time.Second)
		<-running
		began := time.Now()
		c.fall()
		r := get(t, out)
		if r.Outcome != c.want {
			t.Errorf("%s: %v, want %v", name, r.Outcome, c.want)
		}
		// Known by the cut or by five beats, not by the request's time.
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: told after %v", name, took)
		}
		w.dead[0].Store(false)
		w.dead[1].Store(false)
		w.cut()
		wake <- true
	}
	if ran := south.expectNoneRanTwice(t); ran != 5 {
		t.Errorf("%d requests run", ran)
	}
}

// A peer that sends heartbeats and no answer: the request fails before its deadline, as one
// that may have been executed, and the peer hears that it was given up.
func TestSlowPeerIsGivenUpInTime(t *testing.T) {
	north, south, _ := pair(t)
	gone := south.executesUntilGone()
	for _, effect := range []peerpolicy.Effect{peerpolicy.EffectIdempotent, peerpolicy.EffectIdempotencyKey, peerpolicy.EffectUnsafe} {
		const timeLimit = 300 * time.Millisecond
		began := time.Now()
		replies := north.send(effect, "x", nil, timeLimit)
		reply := awaitReply(t, replies)
		if took := time.Since(began); took > timeLimit {
			t.Errorf("effect %d: told after %v", effect, took)
		}
		if reply.Outcome != peerpolicy.OutcomeAborted {
			t.Errorf("effect %d: %v", effect, reply.Outcome)
		}
		expectNoSecondReply(t, replies)
		<-gone
	}
}

// forwardingLoad forwards requests to a peer, one after the other, and counts how they end.
type forwardingLoad struct {
	north            *side
	stop             chan struct{}
	forwarded, ended atomic.Int64
	mu               sync.Mutex
	outcomes         map[peerpolicy.Outcome]int
}

func (l *forwardingLoad) run(t *testing.T) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		const effects = 3
		replies := l.north.send(peerpolicy.Effect(i%effects), "x", nil, 300*time.Millisecond)
		if replies == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		l.forwarded.Add(1)
		select {
		case reply := <-replies:
			l.count(reply)
		case <-time.After(2 * time.Second):
			t.Error("a request without an end")
			return
		}
	}
}

func (l *forwardingLoad) count(reply Reply) {
	l.ended.Add(1)
	reply.Body.Release()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[reply.Outcome]++
}

// A slow link ends a request in its time; one that is cut and joined again and again loses
// none and duplicates none.
func TestCutsLoseAndDuplicateNoRequest(t *testing.T) {
	north, south, w := pair(t)
	w.delay.Store(int64(2 * time.Millisecond))
	load := &forwardingLoad{north: north, stop: make(chan struct{}), outcomes: map[peerpolicy.Outcome]int{}}
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() { load.run(t) })
	}
	for range 12 {
		time.Sleep(120 * time.Millisecond)
		w.cut()
	}
	close(load.stop)
	clients.Wait()
	south.expectNoneRanTwice(t)
	if forwarded, ended := load.forwarded.Load(), load.ended.Load(); forwarded != ended || forwarded < 50 {
		t.Fatalf("%d forwarded, %d ended", forwarded, ended)
	}
	t.Logf("by outcome: %v", load.outcomes)
}

// The forwarding site's purges travel with a request, and no older copy comes back.
func TestPurgesTravelWithRequests(t *testing.T) {
	north, south, _ := pair(t)
	north.known = []peerproto.Purge{{At: 999_000}, {Group: true, At: 1_000_000}}
	if r := get(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second)); r.Outcome != peerpolicy.OutcomeRejected {
		t.Fatalf("%v with a copy as old as the purge", r.Outcome)
	}
	south.mu.Lock()
	if got := strings.Join(south.purges, "; "); got != `"film" 0 999000; "" 7 1000000` {
		t.Errorf("the far side heard %s", got)
	}
	south.mu.Unlock()
	north.known = []peerproto.Purge{{At: 999_000}}
	r := get(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second))
	if r.Outcome != peerpolicy.OutcomeCompleted {
		t.Fatalf("%v with a younger one", r.Outcome)
	}
	r.Body.Release()
}

// A client that leaves, and a router that drains.
func TestClientGoneAndDrain(t *testing.T) {
	north, south, _ := pair(t)
	gone := south.executesUntilGone()
	out := north.send(peerpolicy.EffectIdempotent, "x", nil, 3*time.Second)
	testsupport.WaitUntil(t, "the request", func() bool { return south.Status().InboundInFlight == 1 })
	north.Cancel(fmt.Sprintf("%016x", count.Load()))
	<-gone
	if len(out) > 0 {
		t.Error("an end for a client that had left")
	}
	south.Drain()
	testsupport.WaitUntil(t, "the news of the drain", func() bool { return north.Status().Peers[0].State == "leaving" })
	if north.send(peerpolicy.EffectIdempotent, "x", nil, time.Second) != nil {
		t.Error("handed over to one that drains")
	}
}

// What no router writes ends its own connection, and nothing else.
func TestMalformedFramesEndTheirConnection(t *testing.T) {
	north, south, _ := pair(t)
	hello := func(version uint16, name string) []byte {
		b, _ := peerproto.Append(nil, peerproto.KindHello, 0, &peerproto.Hello{Version: version, Name: name, Site: "north", Incarnation: 9})
		return b
	}
	good := hello(peerproto.Version, "n")
	ask := func(number uint32, a peerproto.Request) []byte {
		b, _ := peerproto.Append(nil, peerproto.KindRequest, number, &a)
		return b
	}
	one := peerproto.Request{Budget: 1e6, RequestID: "00000000000000ff", Class: "r", Object: "o", Route: []string{"n"}, BodyBytes: 5}
	huge, late, many := one, one, one
	huge.BodyBytes, late.Budget = 1<<30, 0
	for range 17 {
		many.Purges = append(many.Purges, peerproto.Purge{At: 1})
	}
	data, _ := peerproto.AppendRaw(nil, peerproto.KindData, 4, []byte("longer than five"))
	answer, _ := peerproto.Append(nil, peerproto.KindAnswer, 4, &peerproto.Answer{Outcome: 1})
	for name, b := range map[string][]byte{
		"another version": hello(9, "n"), "a stranger": hello(peerproto.Version, "x"), "nonsense": []byte("GET / HTTP/1.1\r\n\r\n"),
		"oversized": append(good, 255, 255, 255, byte(peerproto.KindData), 1, 0, 0, 0), "no greeting": ask(4, one),
		"huge body": append(good, ask(4, huge)...), "no time": append(good, ask(4, late)...), "many purges": append(good, ask(4, many)...),
		"number twice": append(append(good, ask(4, one)...), ask(4, one)...), "endless body": append(append(good, ask(4, one)...), data...),
		"an answer": append(good, answer...), "odd window": append(append(good, ask(4, one)...), peerproto.AppendWindow(nil, 4, 1<<30)...),
	} {
		c, err := net.Dial("tcp", south.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(b)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: the connection goes on: %v", name, err)
		}
		c.Close()
	}
	r := get(t, north.send(peerpolicy.EffectIdempotent, "x", nil, time.Second))
	if r.Outcome != peerpolicy.OutcomeCompleted {
		t.Fatalf("%v after all that", r.Outcome)
	}
	r.Body.Release()
	testsupport.WaitUntil(t, "the end of what they left", func() bool { return south.Status().InboundInFlight == 0 })
}

// The clocks of two sites may be hours apart: a frame's delay is counted from the quickest
// frame.
func TestDelayIsMeasuredBetweenDifferentClocks(t *testing.T) {
	for _, apart := range []int64{0, 3600_000_000, -3600_000_000} {
		k := newLink(nil, nil, "s")
		at := int64(10_000_000_000)
		for i := range int64(20) {
			k.handleHeartbeat(at+i*1000+20_000+i%3*5_000, &peerproto.Heartbeat{SentAt: at + i*1000 + apart})
		}
		if d := k.extraDelay(at+50_000, at+30_000+apart); d != 0 {
			t.Errorf("apart by %d: a frame of the quickest is %d us late", apart, d)
		}
		if d := k.extraDelay(at+750_000, at+30_000+apart); d != 700_000 {
			t.Errorf("apart by %d: a frame that lay 700 ms is %d us late", apart, d)
		}
	}
}

// loadKeys loads a router's certificate and the issuer that its peers must have.
func loadKeys(t testing.TB, dir, name, issuerDir string) *Keys {
	t.Helper()
	keys := &Keys{
		Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(issuerDir, "ca.pem"),
	}
	if err := keys.Load(); err != nil {
		t.Fatal(err)
	}
	return keys
}

// Valid certificates, and each kind of invalid one with its reason.
func TestKeys(t *testing.T) {
	dir, other, old := t.TempDir(), t.TempDir(), t.TempDir()
	for d, lasts := range map[string]time.Duration{dir: time.Hour, other: time.Hour, old: -time.Second} {
		if err := MakeKeys(d, []string{"n", "s", "x"}, lasts); err != nil {
			t.Fatal(err)
		}
	}
	keys := func(d, name, ca string) *Keys { return loadKeys(t, d, name, ca) }
	logged := func(s *side, what string) {
		t.Helper()
		testsupport.WaitUntil(t, what, func() bool {
			for _, e := range s.hook.AllEntries() {
				if e.Data["reason"] == what {
					return true
				}
			}
			return false
		})
	}
	own := keys(dir, "s", dir)
	south := newSide(t, "s", "south", []Peer{{"n", "north", "127.0.0.1:1"}}, own)
	join := func(k *Keys) *side { return newSide(t, "n", "north", []Peer{{"s", "south", south.addr}}, k) }
	north := join(keys(dir, "n", dir))
	testsupport.WaitUntil(t, "a healthy peer", func() bool { return north.isConnected() })
	r := get(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second))
	if r.Outcome != peerpolicy.OutcomeCompleted {
		t.Fatal(r.Outcome)
	}
	r.Body.Release()
	logged(join(keys(dir, "n", other)), "certificate of an unknown issuer")
	join(keys(other, "n", dir))
	logged(south, "certificate of an unknown issuer")
	join(keys(old, "n", dir))
	logged(south, "certificate expired")
	wrong := newSide(t, "n", "north", []Peer{{"x", "south", south.addr}}, keys(dir, "n", dir))
	logged(wrong, "certificate of another name")
	liar := newSide(t, "n", "north", []Peer{{"s", "south", south.addr}}, keys(dir, "x", dir))
	time.Sleep(100 * time.Millisecond)
	if liar.isConnected() {
		t.Error("a router with another's certificate is trusted")
	}
	// New files come into force without dropping what is there; a bad one changes nothing.
	if err := os.WriteFile(own.Cert, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	if own.Load() == nil {
		t.Error("a bad file was taken")
	}
	if err := MakeKeys(dir, []string{"s"}, time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := own.Load(); err != nil {
		t.Fatal(err)
	}
	r = get(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second))
	if r.Outcome != peerpolicy.OutcomeCompleted {
		t.Fatal("the connection of before was dropped")
	}
	r.Body.Release()
}

// A peer that sent requests and read no answers once got ever more places.
func TestPeerThatReadsNothingKeepsItsPlaces(t *testing.T) {
	_, south, _ := pair(t)
	south.executes(func(<-chan struct{}, *Request) Reply {
		return Reply{Outcome: peerpolicy.OutcomeCompleted, Body: south.body(strings.Repeat("x", 200_000))}
	})
	c, err := net.Dial("tcp", south.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	b, _ := peerproto.Append(nil, peerproto.KindHello, 0, &peerproto.Hello{Version: peerproto.Version, Name: "n", Site: "north", Incarnation: 9})
	c.Write(b)
	for i := range uint32(40) {
		b, _ = peerproto.Append(nil, peerproto.KindRequest, i+1, &peerproto.Request{SentAt: 1, Budget: 1 << 60, RequestID: fmt.Sprint("t", i), Class: "r", Object: "o", Route: []string{"n"}})
		c.Write(b)
		time.Sleep(2 * time.Millisecond)
	}
	south.mu.Lock()
	n := len(south.ran)
	south.mu.Unlock()
	if n < 1 || n > 10 || south.Status().InboundInFlight != n {
		t.Fatalf("%d requests run for it, %d hold a place", n, south.Status().InboundInFlight)
	}
	c.Close()
	testsupport.WaitUntil(t, "the end of them", func() bool { return south.Status().InboundInFlight == 0 })
}
