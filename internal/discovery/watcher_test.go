package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// recorder is a Handler that sends each event as a line of text.
type recorder chan string

func (r recorder) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	line := string(scope)
	for _, endpoint := range list {
		line += fmt.Sprintf(" %s@%s:%s:%d", endpoint.ID, endpoint.Address, endpoint.State, endpoint.StartedAt)
	}
	r <- line
}

func (r recorder) Purge(object string, group, at int64) {
	r <- fmt.Sprintf("purge %q %d %d", object, group, at)
}
func (r recorder) DiscoverySlow(time.Duration) { r <- "slow" }
func (r recorder) DiscoveryLost(error)         { r <- "lost" }
func (r recorder) DiscoveryRestored()          { r <- "restored" }
func (r recorder) DiscoveryOverdue(time.Time)  {}
func (r recorder) DiscoveryGap()               { r <- "gap" }

// Events with a revision that was applied before must not be applied again.
func TestApplyHandsOnNewEventsInOrder(t *testing.T) {
	events := make(recorder, 10)
	watcher := New(&config.Limits{}, events)
	for _, text := range []string{
		`{"rev":2,"notices":[{"rev":1,"pool":{"all":true,"targets":[{"uid":"a","endpoint":"1.1.1.1:1","state":"ready"}]}},
		  {"rev":2,"flush":{"asset":"x","ms":5}}]}`,
		`{"rev":4,"notices":[{"rev":2,"flush":{"asset":"again","ms":5}},{"rev":3,"flush":{"collection":17,"ms":6}},
		  {"rev":4,"pool":{"targets":[{"uid":"a","endpoint":"1.1.1.1:1","state":"gone"},
		  {"uid":"b","endpoint":"1.1.1.1:1","state":"ready","boot_ms":7}]}}]}`,
		`{"rev":5,"notices":[{"rev":5,"pool":{"all":true,"targets":[]}}]}`,
	} {
		update, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		watcher.Apply(update)
	}
	close(events)
	want := []string{
		"disk a@1.1.1.1:1:active:0", `purge "x" 0 5000`, `purge "" 17 6000`,
		"diff a@1.1.1.1:1:left:0 b@1.1.1.1:1:active:7000", "snapshot",
	}
	for _, line := range want {
		if got := <-events; got != line {
			t.Errorf("event %q, want %q", got, line)
		}
	}
	if watcher.revision != 5 {
		t.Errorf("revision %d, want 5", watcher.revision)
	}
}

// Malformed JSON, a purge of nothing, and an endpoint with an invalid id or state must be
// rejected.
func TestParseRejectsUnusableUpdates(t *testing.T) {
	for _, text := range []string{
		"", "[]", `{"rev":"x"}`, `{"notices":[{"flush":{"ms":1}}]}`,
		`{"notices":[{"pool":{"targets":[{"uid":"a b","state":"ready"}]}}]}`,
		`{"notices":[{"pool":{"targets":[{"uid":"a","state":"odd"}]}}]}`,
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("update %q was accepted", text)
		}
	}
}

// runWatcher runs a watcher on a service that sends one response on each connection. It
// returns the events and the request targets of the polls.
func runWatcher(t *testing.T, responses ...string) (events recorder, targets <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	polledTargets := make(chan string, 10)
	go func() {
		for _, response := range responses {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			polledTargets <- strings.Fields(line + " - -")[1]
			conn.Write([]byte(response))
			conn.Close()
		}
	}()
	limits := &config.Limits{
		PollWait: time.Second, PollGrace: time.Second, PollBackoffMin: time.Millisecond,
		PollBackoffMax: 2 * time.Millisecond, MaxHeadBytes: 1000, MaxHeaderFields: 10, MaxDiscoveryBody: 1000,
	}
	events = make(recorder, 10)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go New(limits, events).Run(ctx, listener.Addr().String())
	return events, polledTargets
}

// expect fails the test unless exactly these events follow.
func (r recorder) expect(t *testing.T, events ...string) {
	t.Helper()
	for _, want := range events {
		if got := <-r; got != want {
			t.Fatalf("event %q, want %q", got, want)
		}
	}
}

// Guards against losing the endpoint list when the service sends an incomplete or
// malformed response.
func TestRunContinuesAfterFaults(t *testing.T) {
	events, targets := runWatcher(t,
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
		"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+`{"rev":8,"notices":[{"rev":8,"flush":{"asset":"x","ms":5}}]}`,
		"",
	)
	events.expect(t, "lost", "restored", `purge "x" 0 5000`)
	for range 5 {
		if got, want := <-targets, "/board/poll?watch=0&linger=1000"; got != want {
			t.Fatalf("poll of %s, want %s", got, want)
		}
	}
	if got, want := <-targets, "/board/poll?watch=8&linger=1000"; got != want {
		t.Fatalf("poll of %s, want %s", got, want)
	}
}

// Guards against losing a service that sends long updates as chunked bodies: each poll
// failed, and the next one requested the same update again. A malformed chunk makes the
// poll fail.
func TestRunReadsChunkedUpdates(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const update = `{"rev":1,"notices":[{"rev":1,"flush":{"asset":"x","ms":5}}]}`
	events, _ := runWatcher(t,
		head+"zz\r\n",
		head+"5\r\n{\"rev\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"+head[17:], // without its status line
		head+fmt.Sprintf("10\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", update[:16], len(update)-16, update[16:]),
	)
	events.expect(t, "lost", "restored", `purge "x" 0 5000`)
}

// applyAll applies updates to a new watcher and returns the events that its handler receives.
func applyAll(t *testing.T, texts ...string) []string {
	t.Helper()
	events := make(recorder, 20)
	watcher := New(&config.Limits{}, events)
	for _, text := range texts {
		update, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		watcher.Apply(update)
	}
	close(events)
	var received []string
	for line := range events {
		received = append(received, line)
	}
	return received
}

// Guards against ignoring the drains and purges of a service that restarts its revision
// numbers, and against making drained endpoints active again while its older events are
// applied.
func TestEventsNumberedAnewAreFollowed(t *testing.T) {
	const before = `{"rev":40,"notices":[{"rev":40,"pool":{"all":true,"targets":[
		{"uid":"a","endpoint":"1.1.1.1:1","state":"draining"}]}}]}`
	const history = `{"rev":3,"notices":[{"rev":1,"pool":{"all":true,"targets":[
		{"uid":"a","endpoint":"1.1.1.1:1","state":"ready"},{"uid":"b","endpoint":"1.1.1.1:2","state":"ready"}]}},
		{"rev":2,"pool":{"targets":[{"uid":"a","endpoint":"1.1.1.1:1","state":"draining"}]}},
		{"rev":3,"flush":{"asset":"x","ms":5}}]}`
	const after = `{"rev":4,"notices":[{"rev":4,"flush":{"collection":9,"ms":7}}]}`
	want := []string{
		"disk a@1.1.1.1:1:leaving:0", "gap", `purge "x" 0 5000`, "snapshot a@1.1.1.1:1:leaving:0 b@1.1.1.1:2:active:0",
		`purge "" 9 7000`,
	}
	for name, texts := range map[string][]string{
		"with its history": {before, history, after},
		"history later":    {before, `{"rev":3,"notices":[]}`, history, after},
	} {
		if received := applyAll(t, texts...); !slices.Equal(received, want) {
			t.Errorf("%s: events %q, want %q", name, received, want)
		}
	}
}

// After the service has restarted its revision numbers, the next poll must request its
// events from the first one on.
func TestRunAsksForEventsNumberedAnew(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	events, targets := runWatcher(t,
		head+`{"rev":8,"notices":[{"rev":8,"flush":{"asset":"x","ms":5}}]}`,
		head+`{"rev":2,"notices":[]}`,
		head+`{"rev":2,"notices":[{"rev":1,"pool":{"all":true,"targets":[]}},{"rev":2,"flush":{"asset":"y","ms":6}}]}`,
		"",
	)
	events.expect(t, `purge "x" 0 5000`, "gap", `purge "y" 0 6000`)
	for _, watch := range []int{0, 8, 0, 2} {
		if got, want := <-targets, fmt.Sprintf("/board/poll?watch=%d&linger=1000", watch); got != want {
			t.Fatalf("poll of %s, want %s", got, want)
		}
	}
}

// Guards against applying the purge of a group to group 0, because the update also has an
// object with an empty name.
func TestPurgeWithAnEmptyObjectIsOfItsGroup(t *testing.T) {
	received := applyAll(t, `{"rev":1,"notices":[{"rev":1,"flush":{"asset":"","collection":17,"ms":6}}]}`)
	if want := []string{`purge "" 17 6000`}; !slices.Equal(received, want) {
		t.Errorf("events %q, want %q", received, want)
	}
	if _, err := Parse([]byte(`{"rev":1,"notices":[{"rev":1,"flush":{"asset":"","ms":6}}]}`)); err == nil {
		t.Error("a purge without object and group was accepted")
	}
}
