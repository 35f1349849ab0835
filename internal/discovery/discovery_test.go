package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// sink passes everything on as lines of text.
type sink chan string

func (s sink) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	line := string(scope)
	for _, m := range list {
		line += fmt.Sprintf(" %s@%s:%s:%d", m.ID, m.Address, m.State, m.StartedAt)
	}
	s <- line
}

func (s sink) Purge(object string, group, at int64) {
	s <- fmt.Sprintf("purge %q %d %d", object, group, at)
}
func (s sink) DiscoveryLost(error) { s <- "lost" }
func (s sink) DiscoveryRestored()  { s <- "back" }
func (s sink) DiscoveryGap()       { s <- "gap" }

func TestApply(t *testing.T) {
	s := make(sink, 10)
	f := New(&config.Limits{}, s)
	for _, text := range []string{
		`{"rev":2,"notices":[{"rev":1,"pool":{"all":true,"targets":[{"uid":"a","endpoint":"1.1.1.1:1","state":"ready"}]}},
		  {"rev":2,"flush":{"asset":"x","ms":5}}]}`,
		`{"rev":4,"notices":[{"rev":2,"flush":{"asset":"again","ms":5}},{"rev":3,"flush":{"collection":17,"ms":6}},
		  {"rev":4,"pool":{"targets":[{"uid":"a","endpoint":"1.1.1.1:1","state":"gone"},
		  {"uid":"b","endpoint":"1.1.1.1:1","state":"ready","boot_ms":7}]}}]}`,
		`{"rev":5,"notices":[{"rev":5,"pool":{"all":true,"targets":[]}}]}`,
	} {
		n, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		f.Apply(n)
	}
	close(s)
	want := []string{
		"disk a@1.1.1.1:1:active:0", `purge "x" 0 5000`, `purge "" 17 6000`,
		"diff a@1.1.1.1:1:left:0 b@1.1.1.1:1:active:7000", "snapshot",
	}
	for _, w := range want {
		if got := <-s; got != w {
			t.Errorf("%s, want %s", got, w)
		}
	}
	if f.rev != 5 {
		t.Errorf("at %d", f.rev)
	}
}

func TestBadNews(t *testing.T) {
	for _, text := range []string{
		"", "[]", `{"rev":"x"}`, `{"notices":[{"flush":{"ms":1}}]}`,
		`{"notices":[{"pool":{"targets":[{"uid":"a b","state":"ready"}]}}]}`,
		`{"notices":[{"pool":{"targets":[{"uid":"a","state":"odd"}]}}]}`,
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s passes", text)
		}
	}
}

// A board that broke off, or sent nonsense, was once a reason to lose the list.
func TestRunGoesOnAfterFaults(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	targets := make(chan string, 10)
	go func() {
		for _, answer := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{",
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
			"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + `{"rev":8,"notices":[{"rev":8,"flush":{"asset":"x","ms":5}}]}`,
			"",
		} {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			targets <- strings.Fields(line + " - -")[1]
			c.Write([]byte(answer))
			c.Close()
		}
	}()
	limits := &config.Limits{
		PollWait: time.Second, PollGrace: time.Second, PollBackoffMin: time.Millisecond,
		PollBackoffMax: 2 * time.Millisecond, MaxHeadBytes: 1000, MaxHeaderFields: 10, MaxDiscoveryBody: 1000,
	}
	s := make(sink, 10)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f := New(limits, s)
	go f.Run(ctx, l.Addr().String())
	for _, want := range []string{"lost", "back", `purge "x" 0 5000`} {
		if got := <-s; got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	}
	for range 5 {
		if got := <-targets; got != "/board/poll?watch=0&linger=1000" {
			t.Fatal(got)
		}
	}
	if got := <-targets; got != "/board/poll?watch=8&linger=1000" {
		t.Fatal(got)
	}
}

// A board that sends long news in chunks was once lost for good: each poll asked
// for the same news again. A broken chunk is no news.
func TestNewsInChunks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const news = `{"rev":1,"notices":[{"rev":1,"flush":{"asset":"x","ms":5}}]}`
	go func() {
		for _, answer := range []string{
			head + "zz\r\n", head + "5\r\n{\"rev\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + head[17:],
			head + fmt.Sprintf("10\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", news[:16], len(news)-16, news[16:]),
		} {
			c, err := l.Accept()
			if err != nil {
				return
			}
			bufio.NewReader(c).ReadString('\n')
			c.Write([]byte(answer))
			c.Close()
		}
	}()
	s := make(sink, 10)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f := New(&config.Limits{
		PollWait: time.Second, PollGrace: time.Second, PollBackoffMin: time.Millisecond,
		PollBackoffMax: 2 * time.Millisecond, MaxHeadBytes: 1000, MaxHeaderFields: 10, MaxDiscoveryBody: 1000,
	}, s)
	go f.Run(ctx, l.Addr().String())
	for _, want := range []string{"lost", "back", `purge "x" 0 5000`} {
		if got := <-s; got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	}
}
