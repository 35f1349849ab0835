package discovery

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// defaultLimits are the limits of a router on the platform.
func defaultLimits() *config.Limits {
	return &config.Limits{
		PollWait: time.Second, PollGrace: 500 * time.Millisecond, PollBackoffMin: 20 * time.Millisecond,
		PollBackoffMax: 250 * time.Millisecond, PollLossTime: 2 * time.Second, EventDeliveryTime: 7 * time.Second,
		MaxHeadBytes: 1000, MaxHeaderFields: 10, MaxDiscoveryBody: 100_000,
	}
}

func newVirtualService(respond behaviour) *virtualService {
	return &virtualService{limits: defaultLimits(), behaviour: respond, turn: make(chan struct{}, 1)}
}

// behaviour is how a virtualService treats a poll: it sends a response, late, or nothing.
type behaviour func(s *virtualService, poll *servedPoll)

// virtualService is a discovery service in virtual time, which listens to no socket.
type virtualService struct {
	limits *config.Limits // of the watchers

	mu        sync.Mutex
	behaviour behaviour
	events    []string
	polls     []time.Time
	open      int
	mostOpen  int
	refused   bool          // connections are refused
	turn      chan struct{} // holds a token while a response is worked on
}

// servedPoll is a poll as the service received it.
type servedPoll struct {
	conn   net.Conn
	watch  int
	linger time.Duration
	number int // in the order in which polls arrive, from 1
}

func (s *virtualService) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	refused := s.refused
	s.mu.Unlock()
	if refused {
		return nil, fmt.Errorf("connection refused")
	}
	client, server := net.Pipe()
	s.addOpen(1)
	go s.serve(server)
	return &countedConn{Conn: client, closed: sync.OnceFunc(func() { s.addOpen(-1) })}, nil
}

// countedConn is the client's end of a connection.
type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// serve reads polls from a connection until it ends.
func (s *virtualService) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		watch, _ := strconv.Atoi(request.URL.Query().Get("watch"))
		linger, _ := strconv.Atoi(request.URL.Query().Get("linger"))
		s.mu.Lock()
		s.polls = append(s.polls, time.Now())
		poll := &servedPoll{conn, watch, time.Duration(linger) * time.Millisecond, len(s.polls)}
		respond := s.behaviour
		s.mu.Unlock()
		respond(s, poll)
	}
}

func (s *virtualService) addOpen(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += n
	s.mostOpen = max(s.mostOpen, s.open)
}

func (s *virtualService) setBehaviour(b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

func (s *virtualService) purge(object string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(`{"rev":%d,"flush":{"asset":%q,"ms":1}}`, len(s.events)+1, object))
}

// decide waits until the response to a poll is due, and returns it.
func (s *virtualService) decide(poll *servedPoll) string {
	const step = 10 * time.Millisecond
	for deadline := time.Now().Add(poll.linger); ; time.Sleep(step) {
		s.mu.Lock()
		unseen := s.events[min(poll.watch, len(s.events)):]
		text := fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(s.events), strings.Join(unseen, ","))
		s.mu.Unlock()
		if len(unseen) > 0 || !time.Now().Before(deadline) {
			return text
		}
	}
}

func (poll *servedPoll) respond(text string) {
	fmt.Fprintf(poll.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// answerAfter decides a response at once and sends it after a delay.
func answerAfter(delay time.Duration) behaviour {
	return func(s *virtualService, poll *servedPoll) {
		text := s.decide(poll)
		time.Sleep(delay)
		poll.respond(text)
	}
}

// answerInTurns works on one response at a time, also for polls that were given up.
func answerInTurns(turn time.Duration) behaviour {
	return func(s *virtualService, poll *servedPoll) {
		text := s.decide(poll)
		s.turn <- struct{}{}
		defer func() { <-s.turn }()
		time.Sleep(turn)
		poll.respond(text)
	}
}

// answerInPieces sends the bytes of a response one by one, for a while in sum.
func answerInPieces(total time.Duration) behaviour {
	return func(s *virtualService, poll *servedPoll) {
		text := s.decide(poll)
		fmt.Fprintf(poll.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
		for i := range len(text) {
			time.Sleep(total / time.Duration(len(text)))
			if _, err := poll.conn.Write([]byte{text[i]}); err != nil {
				return
			}
		}
	}
}

// neverAnswer keeps the connection open.
func neverAnswer(_ *virtualService, poll *servedPoll) {
	buffer := make([]byte, 1)
	_, _ = poll.conn.Read(buffer)
}

// watch runs a watcher on the service in virtual time until the returned function is called.
func (s *virtualService) watch(handler Handler) (watcher *Watcher, stop func()) {
	watcher = New(s.limits, handler)
	watcher.dial = s.dial
	return s.resume(watcher)
}

// resume runs a watcher on the service until the returned function is called.
func (s *virtualService) resume(watcher *Watcher) (_ *Watcher, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx, "discovery")
	}()
	return watcher, func() {
		cancel()
		<-done
		time.Sleep(2 * maxPollAge) // until the service has ended what it works on
	}
}

// answerEvenPolls leaves every second poll without a response, with its connection open.
func answerEvenPolls(s *virtualService, poll *servedPoll) {
	if poll.number%2 == 0 {
		poll.respond(s.decide(poll))
		return
	}
	neverAnswer(s, poll)
}

// timeline is a Handler that records when it receives purges and reports.
type timeline struct {
	recorder
	mu      sync.Mutex
	purges  []string // in their order
	knownAt map[string]time.Time
	reports []string
}

func newTimeline() *timeline { return &timeline{knownAt: map[string]time.Time{}} }

func (l *timeline) Purge(object string, _, _ int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.purges = append(l.purges, object)
	l.knownAt[object] = time.Now()
}

func (l *timeline) report(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, text)
}

func (l *timeline) DiscoverySlow(delay time.Duration) {
	l.report("slow " + delay.Truncate(100*time.Millisecond).String())
}
func (l *timeline) DiscoveryLost(error) { l.report("lost") }
func (l *timeline) DiscoveryRestored()  { l.report("restored") }
func (l *timeline) DiscoveryGap()       { l.report("gap") }
func (l *timeline) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	text := string(scope)
	for _, endpoint := range list {
		text += " " + endpoint.ID + ":" + string(endpoint.State)
	}
	l.report(text)
}

// Guards against missing the platform's 7 s, in which each event has to be known, while the
// service is slow in one way or another. Events come at moments drawn by seed, and each is
// applied once.
func TestEventsOfSlowServicesComeInTime(t *testing.T) {
	for name, respond := range map[string]behaviour{
		"0.3 s late":                   answerAfter(300 * time.Millisecond),
		"turns of 0.8 s":               answerInTurns(800 * time.Millisecond),
		"a body that takes 1 s":        answerInPieces(time.Second),
		"a body that takes 3 s":        answerInPieces(3 * time.Second),
		"every second poll unanswered": answerEvenPolls,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playPurges(t, respond) })
		})
	}
	for name, respond := range map[string]behaviour{
		"2 s late":     answerAfter(2 * time.Second),
		"3 s late":     answerAfter(3 * time.Second),
		"4 s late":     answerAfter(4 * time.Second),
		"4.8 s late":   answerAfter(4800 * time.Millisecond),
		"turns of 2 s": answerInTurns(2 * time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playPurges(t, respond).checkLoad(t) })
		})
	}
}

// playPurges lets the service make purges, and checks when they are applied.
func playPurges(t *testing.T, respond behaviour) *virtualService {
	t.Helper()
	const purges, seed, longestPause = 300, 1, 4 * time.Second
	random := rand.New(rand.NewPCG(seed, 0))
	service := newVirtualService(respond)
	events := newTimeline()
	_, stop := service.watch(events)
	var made []time.Time
	for i := range purges {
		time.Sleep(time.Duration(random.Int64N(int64(longestPause))))
		made = append(made, time.Now())
		service.purge(strconv.Itoa(i))
	}
	time.Sleep(defaultLimits().EventDeliveryTime)
	stop()
	if len(events.purges) != purges {
		t.Errorf("%d purges were applied, want each of %d once", len(events.purges), purges)
	}
	for i, at := range made {
		known, ok := events.knownAt[strconv.Itoa(i)]
		if late := known.Sub(at); !ok || late > defaultLimits().EventDeliveryTime {
			t.Errorf("purge %d known: %v, after %v", i, ok, late)
		}
	}
	return service
}

// checkLoad fails the test if the service got more polls than from a router that gives each poll
// up after the wait and the grace and then backs off, or if too many were open.
func (s *virtualService) checkLoad(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := defaultLimits()
	const window = 20 * time.Second
	most := int(window/(limits.PollWait+limits.PollGrace)) + 1
	for i, first := range s.polls {
		n := 0
		for _, at := range s.polls[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		if n > most {
			t.Errorf("%d polls within %v, want %d at the most", n, window, most)
			break
		}
	}
	if s.mostOpen > maxOpenPolls {
		t.Errorf("%d connections at once, want %d at the most", s.mostOpen, maxOpenPolls)
	}
}
