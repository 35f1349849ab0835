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

// The directions of a proxy.
const (
	towardsTarget = iota
	fromTarget
)

// proxy forwards connections to an address. It can delay the bytes, discard those of either
// direction and close the connections.
type proxy struct {
	net.Listener
	target  string
	delay   atomic.Int64   // nanoseconds
	discard [2]atomic.Bool // by direction: bytes are read and not written
	mu      sync.Mutex
	conns   []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: l, target: target}
	t.Cleanup(func() { l.Close(); p.closeConns() })
	go func() {
		for {
			incoming, err := l.Accept()
			if err != nil {
				return
			}
			outgoing, err := net.Dial("tcp", p.target)
			if err != nil {
				incoming.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, incoming, outgoing)
			p.mu.Unlock()
			go p.relay(incoming, outgoing, towardsTarget)
			go p.relay(outgoing, incoming, fromTarget)
		}
	}()
	return p
}

// relay copies the bytes of one direction of a connection until it ends.
func (p *proxy) relay(from, to net.Conn, direction int) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if p.discard[direction].Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}

// testSite is a gateway together with its host, whose behaviour the test sets.
type testSite struct {
	*Gateway
	logHook        *logtest.Hook
	pool           *bufferpool.Pool
	addr           string
	execute        func(cancelled <-chan struct{}, request *Request) Reply
	knownPurges    []peerproto.Purge
	mu             sync.Mutex // guards execute, receivedPurges and executions
	receivedPurges []string
	executions     map[string]int // by request ID
}

func (s *testSite) Execute(cancelled <-chan struct{}, request *Request) Reply {
	s.mu.Lock()
	s.executions[request.Event.Request]++
	execute := s.execute
	s.mu.Unlock()
	return execute(cancelled, request)
}

// setExecute sets how the host executes requests.
func (s *testSite) setExecute(execute func(cancelled <-chan struct{}, request *Request) Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.execute = execute
}

// executeUntilCancelled makes each request run until it is cancelled. The channel receives a
// value when a request ends.
func (s *testSite) executeUntilCancelled() (ended <-chan struct{}) {
	ends := make(chan struct{}, 9)
	s.setExecute(func(cancelled <-chan struct{}, _ *Request) Reply {
		<-cancelled
		ends <- struct{}{}
		return Reply{Outcome: peerpolicy.OutcomeAborted}
	})
	return ends
}

// expectNoneRanTwice fails the test if a request was executed twice. It returns the number of
// requests that were executed.
func (s *testSite) expectNoneRanTwice(t *testing.T) (executed int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for request, n := range s.executions {
		if n > 1 {
			t.Errorf("request %s was executed %d times", request, n)
		}
	}
	return len(s.executions)
}

func (s *testSite) Purges(string, int64) []peerproto.Purge { return s.knownPurges }
func (s *testSite) Purge(object string, group, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedPurges = append(s.receivedPurges, fmt.Sprintf("%q %d %d", object, group, at))
}

func (s *testSite) body(text string) *bufferpool.Body {
	body, err := s.pool.ReadBody(strings.NewReader(text), len(text))
	if err != nil {
		panic(err)
	}
	return body
}

func bodyText(body *bufferpool.Body) string {
	return string(bytes.Join(body.AppendBuffers(nil), nil))
}

func newTestSite(t testing.TB, name, site string, peers []Peer, keys *Keys) *testSite {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	s := &testSite{logHook: hook, pool: bufferpool.NewPool(4 << 20), addr: l.Addr().String(), executions: map[string]int{}}
	s.execute = func(_ <-chan struct{}, request *Request) Reply {
		return Reply{Outcome: peerpolicy.OutcomeCompleted, Tag: "tag", IssuedMillis: 1000, Body: s.body("answer to " + request.Event.Object)}
	}
	s.Gateway = Start(Config{
		Peers: peers, Keys: keys, MaxUploadBytes: 48_000, MaxAnswerBytes: 240_000, MaxRequestTime: 5 * time.Second, Seed: 1,
		Settings: peerpolicy.Settings{Name: name, Site: site, MaxRequests: 100, LocalReserve: 0.2, HeartbeatInterval: 40_000},
	}, l, s, s.pool, log.WithField("side", name))
	t.Cleanup(s.Close)
	return s
}

// isConnected reports whether peer "s" is healthy and offers capacity.
func (s *testSite) isConnected() bool {
	s.Gateway.mu.Lock()
	defer s.Gateway.mu.Unlock()
	peer := s.controller.Peer("s")
	return peer.State == peerpolicy.StateHealthy && peer.Capacity > 0
}

// newConnectedSites starts two sites and waits until north can forward requests to south,
// through a proxy.
func newConnectedSites(t *testing.T) (north, south *testSite, p *proxy) {
	t.Helper()
	south = newTestSite(t, "s", "south", []Peer{{"n", "north", "127.0.0.1:1"}}, nil)
	p = newProxy(t, south.addr)
	north = newTestSite(t, "n", "north", []Peer{{"s", "south", p.Addr().String()}}, nil)
	testsupport.WaitUntil(t, "a healthy peer", func() bool { return north.isConnected() })
	return north, south, p
}

var lastRequestNumber atomic.Int64 // of all requests that send has made

// send forwards a request and returns a channel that receives each reply to it; nil: the
// request was not forwarded.
func (s *testSite) send(effect peerpolicy.Effect, object string, body *bufferpool.Body, timeLimit time.Duration) chan Reply {
	replies := make(chan Reply, 9) // has room for surplus replies, see expectNoSecondReply
	request := &Request{Event: policy.Event{
		Request: fmt.Sprintf("%016x", lastRequestNumber.Add(1)), Class: "r", Object: object, Group: 7,
		Remaining: timeLimit.Microseconds(), Write: body != nil,
	}, Effect: effect, NeverRan: true, Body: body}
	if !s.Forward(request, func(reply Reply) { replies <- reply }) {
		return nil
	}
	return replies
}

// awaitReply returns the first reply to a request.
func awaitReply(t *testing.T, replies chan Reply) Reply {
	t.Helper()
	if replies == nil {
		t.Fatal("the request was not forwarded")
	}
	select {
	case reply := <-replies:
		return reply
	case <-time.After(5 * time.Second):
		t.Fatal("no reply to the request")
	}
	return Reply{}
}

// expectNoSecondReply fails the test if a request gets another reply.
func expectNoSecondReply(t *testing.T, replies chan Reply) {
	t.Helper()
	select {
	case reply := <-replies:
		t.Fatalf("second reply to the request: %+v", reply)
	case <-time.After(20 * time.Millisecond):
	}
}

// expectOneReply returns the only reply to a request.
func expectOneReply(t *testing.T, replies chan Reply) Reply {
	t.Helper()
	reply := awaitReply(t, replies)
	expectNoSecondReply(t, replies)
	return reply
}

// A forwarded request gets the peer's answer, and no buffer or request in flight remains.
func TestForwardedRequestIsAnswered(t *testing.T) {
	north, south, _ := newConnectedSites(t)
	reply := expectOneReply(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second))
	if reply.Outcome != peerpolicy.OutcomeCompleted || bodyText(reply.Body) != "answer to film" || reply.Tag != "tag" || reply.IssuedMillis != 1000 {
		t.Fatalf("reply %+v with the body %q", reply, bodyText(reply.Body))
	}
	reply.Body.Release()
	// Large bodies in both directions; the response exceeds the initial window.
	long := strings.Repeat("0123456789abcdef", 15_000)
	south.setExecute(func(_ <-chan struct{}, request *Request) Reply {
		return Reply{Outcome: peerpolicy.OutcomeCompleted, Body: south.body(bodyText(request.Body) + long[:240_000-request.Body.Len()])}
	})
	for range 5 {
		body := north.body(long[:48_000])
		reply = expectOneReply(t, north.send(peerpolicy.EffectUnsafe, "sign", body, time.Second))
		if want := long[:48_000] + long[:192_000]; reply.Outcome != peerpolicy.OutcomeCompleted || bodyText(reply.Body) != want {
			t.Fatalf("outcome %v with a body of %d bytes", reply.Outcome, reply.Body.Len())
		}
		reply.Body.Release()
		body.Release()
	}
	for want, peerReply := range map[peerpolicy.Outcome]Reply{
		peerpolicy.OutcomeRejected: {Outcome: peerpolicy.OutcomeRejected, NeverRan: true, RetryAfter: 7},
		peerpolicy.OutcomeAborted:  {Outcome: peerpolicy.OutcomeAborted},
	} {
		south.setExecute(func(<-chan struct{}, *Request) Reply { return peerReply })
		if reply := expectOneReply(t, north.send(peerpolicy.EffectUnsafe, "x", nil, time.Second)); reply.Outcome != want {
			t.Errorf("outcome %v for the peer's reply %+v", reply.Outcome, peerReply)
		}
	}
	testsupport.WaitUntil(t, "the end of all requests", func() bool { return north.Status().ForwardedInFlight == 0 && south.Status().InboundInFlight == 0 })
	for _, site := range []*testSite{north, south} { // all buffers have been returned to the pool
		for n := 0; n < 512; n++ {
			if _, err := site.pool.ReadBody(strings.NewReader("x"), 1); err != nil {
				t.Fatalf("%d of 512 buffers are free", n)
			}
		}
	}
}

// Guards against a second execution after a peer has reconnected whose link failed while it
// executed a request. The request gets one outcome as soon as the failure is detected.
func TestSilentPeerGetsOneOutcomeAndOneExecution(t *testing.T) {
	north, south, link := newConnectedSites(t)
	started, finish := make(chan bool, 9), make(chan bool)
	south.setExecute(func(_ <-chan struct{}, _ *Request) Reply {
		started <- true
		<-finish
		return Reply{Outcome: peerpolicy.OutcomeCompleted}
	})
	for name, c := range map[string]struct {
		effect peerpolicy.Effect
		want   peerpolicy.Outcome
		fail   func() // makes the link fail
	}{
		"connection closed, unsafe":     {peerpolicy.EffectUnsafe, peerpolicy.OutcomeAborted, link.closeConns},
		"connection closed, idempotent": {peerpolicy.EffectIdempotent, peerpolicy.OutcomeRejected, link.closeConns},
		"answers lost, unsafe":          {peerpolicy.EffectUnsafe, peerpolicy.OutcomeAborted, func() { link.discard[fromTarget].Store(true) }},
		"requests lost, unsafe":         {peerpolicy.EffectUnsafe, peerpolicy.OutcomeAborted, func() { link.discard[towardsTarget].Store(true) }},
		"both lost, idempotent": {peerpolicy.EffectIdempotent, peerpolicy.OutcomeRejected, func() {
			link.discard[towardsTarget].Store(true)
			link.discard[fromTarget].Store(true)
		}},
	} {
		testsupport.WaitUntil(t, name+": a healthy peer", func() bool { return north.isConnected() })
		replies := north.send(c.effect, name, nil, 3*time.Second)
		<-started
		failedAt := time.Now()
		c.fail()
		reply := expectOneReply(t, replies)
		if reply.Outcome != c.want {
			t.Errorf("%s: outcome %v, want %v", name, reply.Outcome, c.want)
		}
		// The failure is detected by the closed connection or by five missing heartbeats, before
		// the request's deadline.
		if elapsed := time.Since(failedAt); elapsed > time.Second {
			t.Errorf("%s: reply %v after the failure", name, elapsed)
		}
		link.discard[towardsTarget].Store(false)
		link.discard[fromTarget].Store(false)
		link.closeConns()
		finish <- true
	}
	if executed := south.expectNoneRanTwice(t); executed != 5 {
		t.Errorf("%d requests were executed, want 5", executed)
	}
}

// A peer that sends heartbeats and no answer: the request is aborted before its deadline, since
// it may have been executed, and the peer is notified of the cancellation.
func TestSlowPeerIsGivenUpInTime(t *testing.T) {
	north, south, _ := newConnectedSites(t)
	ended := south.executeUntilCancelled()
	for _, effect := range []peerpolicy.Effect{peerpolicy.EffectIdempotent, peerpolicy.EffectIdempotencyKey, peerpolicy.EffectUnsafe} {
		const timeLimit = 300 * time.Millisecond
		sentAt := time.Now()
		replies := north.send(effect, "x", nil, timeLimit)
		reply := awaitReply(t, replies)
		if elapsed := time.Since(sentAt); elapsed > timeLimit {
			t.Errorf("effect %d: reply after %v", effect, elapsed)
		}
		if reply.Outcome != peerpolicy.OutcomeAborted {
			t.Errorf("effect %d: outcome %v", effect, reply.Outcome)
		}
		expectNoSecondReply(t, replies)
		<-ended
	}
}

// forwardingLoad forwards requests from a site and counts them and their outcomes.
type forwardingLoad struct {
	site             *testSite
	stop             chan struct{}
	forwarded, ended atomic.Int64
	mu               sync.Mutex // guards outcomes
	outcomes         map[peerpolicy.Outcome]int
}

// run forwards one request after the other until stop is closed.
func (l *forwardingLoad) run(t *testing.T) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		const effects = 3
		replies := l.site.send(peerpolicy.Effect(i%effects), "x", nil, 300*time.Millisecond)
		if replies == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		l.forwarded.Add(1)
		select {
		case reply := <-replies:
			l.record(reply)
		case <-time.After(2 * time.Second):
			t.Error("no reply to a forwarded request")
			return
		}
	}
}

func (l *forwardingLoad) record(reply Reply) {
	l.ended.Add(1)
	reply.Body.Release()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[reply.Outcome]++
}

// Over a slow link whose connections are closed again and again, each forwarded request gets a
// reply, and none is executed twice.
func TestCutsLoseAndDuplicateNoRequest(t *testing.T) {
	north, south, link := newConnectedSites(t)
	link.delay.Store(int64(2 * time.Millisecond))
	load := &forwardingLoad{site: north, stop: make(chan struct{}), outcomes: map[peerpolicy.Outcome]int{}}
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() { load.run(t) })
	}
	for range 12 {
		time.Sleep(120 * time.Millisecond)
		link.closeConns()
	}
	close(load.stop)
	clients.Wait()
	south.expectNoneRanTwice(t)
	if forwarded, ended := load.forwarded.Load(), load.ended.Load(); forwarded != ended || forwarded < 50 {
		t.Fatalf("%d requests forwarded (want at least 50), %d ended", forwarded, ended)
	}
	t.Logf("requests by outcome: %v", load.outcomes)
}

// A request carries the purges that the forwarding site knows, and a copy that is not younger
// than the latest of them is not used.
func TestPurgesTravelWithRequests(t *testing.T) {
	north, south, _ := newConnectedSites(t)
	north.knownPurges = []peerproto.Purge{{At: 999_000}, {Group: true, At: 1_000_000}}
	if reply := expectOneReply(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second)); reply.Outcome != peerpolicy.OutcomeRejected {
		t.Fatalf("outcome %v for a copy as old as the purge", reply.Outcome)
	}
	south.mu.Lock()
	if got := strings.Join(south.receivedPurges, "; "); got != `"film" 0 999000; "" 7 1000000` {
		t.Errorf("the peer received the purges %s", got)
	}
	south.mu.Unlock()
	north.knownPurges = []peerproto.Purge{{At: 999_000}}
	reply := expectOneReply(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second))
	if reply.Outcome != peerpolicy.OutcomeCompleted {
		t.Fatalf("outcome %v for a copy younger than the purge", reply.Outcome)
	}
	reply.Body.Release()
}

// A request whose client disconnects is cancelled at the peer and gets no reply. A router
// forwards nothing to a peer that drains.
func TestClientGoneAndDrain(t *testing.T) {
	north, south, _ := newConnectedSites(t)
	ended := south.executeUntilCancelled()
	replies := north.send(peerpolicy.EffectIdempotent, "x", nil, 3*time.Second)
	testsupport.WaitUntil(t, "the request at the peer", func() bool { return south.Status().InboundInFlight == 1 })
	north.Cancel(fmt.Sprintf("%016x", lastRequestNumber.Load()))
	<-ended
	if len(replies) > 0 {
		t.Error("reply to a cancelled request")
	}
	south.Drain()
	testsupport.WaitUntil(t, "the peer's drain in the status", func() bool { return north.Status().Peers[0].State == "leaving" })
	if north.send(peerpolicy.EffectIdempotent, "x", nil, time.Second) != nil {
		t.Error("a request was forwarded to a draining peer")
	}
}

// A frame that violates the protocol ends its connection, and does not affect other
// connections.
func TestMalformedFramesEndTheirConnection(t *testing.T) {
	north, south, _ := newConnectedSites(t)
	helloFrame := func(version uint16, name string) []byte {
		frame, _ := peerproto.Append(nil, peerproto.KindHello, 0, &peerproto.Hello{Version: version, Name: name, Site: "north", Incarnation: 9})
		return frame
	}
	hello := helloFrame(peerproto.Version, "n")
	requestFrame := func(number uint32, request peerproto.Request) []byte {
		frame, _ := peerproto.Append(nil, peerproto.KindRequest, number, &request)
		return frame
	}
	valid := peerproto.Request{Budget: 1e6, RequestID: "00000000000000ff", Class: "r", Object: "o", Route: []string{"n"}, BodyBytes: 5}
	hugeBody, noBudget, manyPurges := valid, valid, valid
	hugeBody.BodyBytes, noBudget.Budget = 1<<30, 0
	for range 17 {
		manyPurges.Purges = append(manyPurges.Purges, peerproto.Purge{At: 1})
	}
	data, _ := peerproto.AppendRaw(nil, peerproto.KindData, 4, []byte("longer than five"))
	answer, _ := peerproto.Append(nil, peerproto.KindAnswer, 4, &peerproto.Answer{Outcome: 1})
	for name, input := range map[string][]byte{
		"another version":            helloFrame(9, "n"),
		"unknown router":             helloFrame(peerproto.Version, "x"),
		"another protocol":           []byte("GET / HTTP/1.1\r\n\r\n"),
		"oversized payload":          append(hello, 255, 255, 255, byte(peerproto.KindData), 1, 0, 0, 0),
		"no hello":                   requestFrame(4, valid),
		"huge body":                  append(hello, requestFrame(4, hugeBody)...),
		"no budget":                  append(hello, requestFrame(4, noBudget)...),
		"too many purges":            append(hello, requestFrame(4, manyPurges)...),
		"number in use":              append(append(hello, requestFrame(4, valid)...), requestFrame(4, valid)...),
		"body longer than announced": append(append(hello, requestFrame(4, valid)...), data...),
		"answer to the dialler":      append(hello, answer...),
		"window out of bounds":       append(append(hello, requestFrame(4, valid)...), peerproto.AppendWindow(nil, 4, 1<<30)...),
	} {
		conn, err := net.Dial("tcp", south.addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(input)
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, conn); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: the connection was not closed: %v", name, err)
		}
		conn.Close()
	}
	reply := expectOneReply(t, north.send(peerpolicy.EffectIdempotent, "x", nil, time.Second))
	if reply.Outcome != peerpolicy.OutcomeCompleted {
		t.Fatalf("outcome %v on another connection", reply.Outcome)
	}
	reply.Body.Release()
	testsupport.WaitUntil(t, "the end of the requests on closed connections", func() bool { return south.Status().InboundInFlight == 0 })
}

// The clocks of two sites may differ by hours: the extra delay of a frame is relative to the
// frame with the shortest delay, whatever the difference of the clocks.
func TestDelayIsMeasuredBetweenDifferentClocks(t *testing.T) {
	for _, offset := range []int64{0, 3600_000_000, -3600_000_000} {
		l := newLink(nil, nil, "s")
		now := int64(10_000_000_000)
		for i := range int64(20) {
			l.handleHeartbeat(now+i*1000+20_000+i%3*5_000, &peerproto.Heartbeat{SentAt: now + i*1000 + offset})
		}
		if delay := l.extraDelay(now+50_000, now+30_000+offset); delay != 0 {
			t.Errorf("clocks %d us apart: extra delay of %d us for a frame of the shortest delay", offset, delay)
		}
		if delay := l.extraDelay(now+750_000, now+30_000+offset); delay != 700_000 {
			t.Errorf("clocks %d us apart: extra delay of %d us for a frame that was held for 700 ms", offset, delay)
		}
	}
}

// loadKeys loads a router's certificate and the authority that has to issue its peers'
// certificates.
func loadKeys(t testing.TB, dir, name, authorityDir string) *Keys {
	t.Helper()
	keys := &Keys{
		Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(authorityDir, "ca.pem"),
	}
	if err := keys.Load(); err != nil {
		t.Fatal(err)
	}
	return keys
}

// Routers with valid certificates connect. Each kind of invalid certificate is refused with
// its reason in the log. Reloaded keys don't end existing connections.
func TestKeys(t *testing.T) {
	validDir, otherDir, expiredDir := t.TempDir(), t.TempDir(), t.TempDir()
	for dir, lifetime := range map[string]time.Duration{validDir: time.Hour, otherDir: time.Hour, expiredDir: -time.Second} {
		if err := MakeKeys(dir, []string{"n", "s", "x"}, lifetime); err != nil {
			t.Fatal(err)
		}
	}
	keys := func(dir, name, authorityDir string) *Keys { return loadKeys(t, dir, name, authorityDir) }
	awaitLoggedReason := func(site *testSite, reason string) {
		t.Helper()
		testsupport.WaitUntil(t, "the log entry with the reason "+reason, func() bool {
			for _, entry := range site.logHook.AllEntries() {
				if entry.Data["reason"] == reason {
					return true
				}
			}
			return false
		})
	}
	southKeys := keys(validDir, "s", validDir)
	south := newTestSite(t, "s", "south", []Peer{{"n", "north", "127.0.0.1:1"}}, southKeys)
	startNorth := func(k *Keys) *testSite {
		return newTestSite(t, "n", "north", []Peer{{"s", "south", south.addr}}, k)
	}
	north := startNorth(keys(validDir, "n", validDir))
	testsupport.WaitUntil(t, "a healthy peer", func() bool { return north.isConnected() })
	reply := expectOneReply(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second))
	if reply.Outcome != peerpolicy.OutcomeCompleted {
		t.Fatalf("outcome %v with valid certificates", reply.Outcome)
	}
	reply.Body.Release()
	awaitLoggedReason(startNorth(keys(validDir, "n", otherDir)), "certificate of an unknown issuer")
	startNorth(keys(otherDir, "n", validDir))
	awaitLoggedReason(south, "certificate of an unknown issuer")
	startNorth(keys(expiredDir, "n", validDir))
	awaitLoggedReason(south, "certificate expired")
	wrongPeer := newTestSite(t, "n", "north", []Peer{{"x", "south", south.addr}}, keys(validDir, "n", validDir))
	awaitLoggedReason(wrongPeer, "certificate of another name")
	impostor := newTestSite(t, "n", "north", []Peer{{"s", "south", south.addr}}, keys(validDir, "x", validDir))
	time.Sleep(100 * time.Millisecond)
	if impostor.isConnected() {
		t.Error("a router with the certificate of another name is connected")
	}
	// New keys come into use without closing a connection, and an invalid file changes nothing.
	if err := os.WriteFile(southKeys.Cert, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	if southKeys.Load() == nil {
		t.Error("an invalid certificate file was loaded")
	}
	if err := MakeKeys(validDir, []string{"s"}, time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := southKeys.Load(); err != nil {
		t.Fatal(err)
	}
	reply = expectOneReply(t, north.send(peerpolicy.EffectIdempotent, "film", nil, time.Second))
	if reply.Outcome != peerpolicy.OutcomeCompleted {
		t.Fatal("the connection was closed when the keys were reloaded")
	}
	reply.Body.Release()
}

// Guards against admitting an unbounded number of requests of a peer that does not read the
// answers: its requests stay in flight and count against the limit.
func TestUnreadAnswersKeepRequestsInFlight(t *testing.T) {
	_, south, _ := newConnectedSites(t)
	south.setExecute(func(<-chan struct{}, *Request) Reply {
		return Reply{Outcome: peerpolicy.OutcomeCompleted, Body: south.body(strings.Repeat("x", 200_000))}
	})
	conn, err := net.Dial("tcp", south.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	frame, _ := peerproto.Append(nil, peerproto.KindHello, 0, &peerproto.Hello{Version: peerproto.Version, Name: "n", Site: "north", Incarnation: 9})
	conn.Write(frame)
	for i := range uint32(40) {
		frame, _ = peerproto.Append(nil, peerproto.KindRequest, i+1, &peerproto.Request{
			SentAt: 1, Budget: 1 << 60, RequestID: fmt.Sprint("t", i), Class: "r", Object: "o", Route: []string{"n"},
		})
		conn.Write(frame)
		time.Sleep(2 * time.Millisecond)
	}
	south.mu.Lock()
	executed := len(south.executions)
	south.mu.Unlock()
	if executed < 1 || executed > 10 || south.Status().InboundInFlight != executed {
		t.Fatalf("%d requests were executed, %d are in flight", executed, south.Status().InboundInFlight)
	}
	conn.Close()
	testsupport.WaitUntil(t, "the end of the requests in flight", func() bool { return south.Status().InboundInFlight == 0 })
}
