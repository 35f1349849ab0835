package main

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// silentDiscovery answers the first poll of a router and none behind it, while the connections stay open.
type silentDiscovery struct {
	net.Listener
	silentFrom chan time.Time // when the first poll without an answer arrived
	once       sync.Once
}

func newSilentDiscovery(t *testing.T) *silentDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &silentDiscovery{Listener: listener, silentFrom: make(chan time.Time, 1)}
	var conns sync.WaitGroup
	conns.Go(func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { d.serve(conn, first) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		conns.Wait()
	})
	return d
}

// serve reads polls until the router closes the connection.
func (d *silentDiscovery) serve(conn net.Conn, answerFirst bool) {
	defer conn.Close()
	const update = `{"rev":1,"notices":[]}`
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if !answerFirst {
			d.once.Do(func() { d.silentFrom <- time.Now() })
			continue
		}
		answerFirst = false
		time.Sleep(time.Second)
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + update))
	}
}

// Guards against copies on disk that are served without a revalidation for too long, or not long enough, while
// discovery is silent: an event counts as told 2 s behind the end of the second that a poll asks for, and a purge
// binds after its grace, with 50 ms on sockets. Until the grace ends a slow discovery is no reason to revalidate.
func TestCopiesOnDiskAreRevalidatedOnceSilentDiscoveryCountsAsTold(t *testing.T) {
	t.Parallel()
	const (
		wait, told, purgeGrace = time.Second, 2 * time.Second, 300 * time.Millisecond
		slack                  = 50 * time.Millisecond
		measured               = 20 * time.Millisecond // a request that is answered from disk, and its time of arrival
	)
	discovery := newSilentDiscovery(t)
	test := startDiskCacheTestWith(t, strings.NewReplacer(
		`"board":"127.0.0.1:1"`, `"board":"`+discovery.Addr().String()+`"`,
		`"NotesGiven":"all"`, `"NotesGiven":"all","GoodForMs":[60000,0],"ClassGraceMs":[60000,0],"ClearedWithinMs":1,"PurgeGraceMs":300`,
	))
	for range 2 {
		test.get(t, "", "200")
	}
	test.mode.Store(cacheRevalidates)
	silentFrom := <-discovery.silentFrom
	time.Sleep(time.Until(silentFrom.Add(wait + told + purgeGrace/2)))
	test.takeAttempts()
	for {
		askedAt := time.Since(silentFrom)
		test.get(t, "", "200")
		if test.takeAttempts() == 0 && askedAt <= wait+told+purgeGrace+slack {
			time.Sleep(time.Millisecond)
			continue
		}
		if askedAt < wait+told+purgeGrace-measured || askedAt > wait+told+purgeGrace+slack {
			t.Errorf("the first revalidation came %v behind the poll that fell silent, want %v",
				askedAt, wait+told+purgeGrace)
		}
		return
	}
}
