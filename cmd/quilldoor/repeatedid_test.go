package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/clock"
	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/policy"
)

// sendWrite writes a request, of the class whose effect must not be repeated, with a given id.
func (c *testClient) sendWrite(id uint64) {
	const body = "name"
	fmt.Fprintf(c, "PUT /rpc/sign/x HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1500\r\nX-Shard: 7\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// awaitAttempt waits until the endpoint receives an attempt with an id.
func (e *fakeEndpoint) awaitAttempt(t *testing.T, id uint64) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case line := <-e.received:
			if strings.HasPrefix(line, fmt.Sprintf("GET %016x ", id)) {
				return
			}
		case <-timeout:
			t.Fatalf("no attempt with the id %016x", id)
		}
	}
}

// countAttempts counts the attempts with an id that an endpoint receives within a time.
func (e *fakeEndpoint) countAttempts(id uint64, within time.Duration) (attempts int) {
	timeout := time.After(within)
	for {
		select {
		case line := <-e.received:
			if strings.HasPrefix(line, fmt.Sprintf("GET %016x ", id)) {
				attempts++
			}
		case <-timeout:
			return attempts
		}
	}
}

// Guards against a write that runs twice: its client leaves while it is on the way, before or after
// the endpoint has answered, and sends it again under the same id on a new connection.
func TestIDOfAClientThatLeftRunsOnce(t *testing.T) {
	const (
		writeTime = 200 * time.Millisecond
		firstID   = 1 << 50
	)
	for i, leavesAfter := range []time.Duration{10 * time.Millisecond, writeTime / 2, writeTime + 50*time.Millisecond} {
		for j, again := range []time.Duration{0, writeTime / 2, 2 * writeTime} {
			id := uint64(firstID + 10*i + j)
			t.Run(fmt.Sprintf("leaves after %v, again after %v", leavesAfter, again), func(t *testing.T) {
				t.Parallel()
				origin := newFakeEndpoint(t, func(id, _, body string) string {
					time.Sleep(writeTime)
					return fmt.Sprintf("%s ACK - %d\r\n%s\r\n", id, len(body), body)
				})
				addr := startRouter(t, origin.Addr().String(), origin.Addr().String()).addr
				client := dial(t, addr)
				client.sendWrite(id)
				time.Sleep(leavesAfter)
				client.Close()
				time.Sleep(again)
				repeat := dial(t, addr)
				repeat.sendWrite(id)
				status, _, _ := repeat.readResponse(t)
				if status == "503" || status == "429" {
					t.Errorf("status %s says that trying again is harmless", status)
				}
				if attempts := origin.countAttempts(id, 2*writeTime); attempts != 1 {
					t.Errorf("%d attempts, want 1; the repeat was answered with %s", attempts, status)
				}
			})
		}
	}
}

// siteRouter is a router of one of two sites, with the origin of its site.
type siteRouter struct {
	*testRouter
	origin *fakeEndpoint
}

// startSites starts a router in each of two sites whose gateways are peers.
func startSites(t *testing.T, respond ...func(id, fields, body string) string) (routers []siteRouter) {
	t.Helper()
	names := []string{"north", "south"}
	dir := t.TempDir()
	if err := gateway.MakeKeys(dir, names, time.Hour); err != nil {
		t.Fatal(err)
	}
	addresses := []string{reserveAddress(t), reserveAddress(t)}
	for i, name := range names {
		file := filepath.Join(dir, name+".yaml")
		writeFile(t, file, fmt.Appendf(nil, "gateway:\n  name: %s\n  site: %s\n  listen: %s\n  cert: %s.pem\n  key: %s.key\n"+
			"  ca: %s\n  beat_ms: 100\n  peers: [{name: %s, site: %s, addr: %q}]\n",
			name, name, addresses[i], filepath.Join(dir, name), filepath.Join(dir, name), filepath.Join(dir, "ca.pem"),
			names[1-i], names[1-i], addresses[1-i]))
		origin := newFakeEndpoint(t, respond[i])
		router := startRouterWith(t, origin.Addr().String(), origin.Addr().String(), file, strings.NewReplacer())
		routers = append(routers, siteRouter{router, origin})
	}
	return routers
}

// Guards against a write that runs twice because its client left while the other site executed it,
// and sent it again under the same id, to the same site or to the other one.
func TestIDForwardedToAnotherSiteRunsOnce(t *testing.T) {
	t.Parallel()
	const (
		writeTime = 200 * time.Millisecond
		firstID   = 1 << 51
	)
	sites := startSites(t,
		func(id, _, _ string) string { return id + " AGAIN - 0\r\n\r\n" },
		func(id, _, body string) string {
			time.Sleep(writeTime)
			return fmt.Sprintf("%s ACK - %d\r\n%s\r\n", id, len(body), body)
		})
	client := dial(t, sites[0].addr)
	status, id := "", uint64(firstID)
	for until := time.Now().Add(5 * time.Second); status != "200" && time.Now().Before(until); id++ {
		client.sendWrite(id)
		if status, _, _ = client.readResponse(t); status != "200" {
			time.Sleep(200 * time.Millisecond) // the gateways connect, and the site recovers from its rejections
		}
	}
	if status != "200" {
		t.Fatalf("status %s: nothing is forwarded", status)
	}
	client.sendWrite(id)
	sites[1].origin.awaitAttempt(t, id)
	client.Close()
	for i, after := range []time.Duration{0, 2 * writeTime} {
		time.Sleep(after)
		for _, site := range sites {
			repeat := dial(t, site.addr)
			repeat.sendWrite(id)
			if status, _, _ := repeat.readResponse(t); status != "409" {
				t.Errorf("repeat %d: status %s, want 409", i, status)
			}
		}
	}
	if attempts := sites[1].origin.countAttempts(id, 2*writeTime); attempts > 0 {
		t.Errorf("%d further attempts in the other site", attempts)
	}
}

// Guards against a write that runs again at another generation of the router.
func TestExecutedIDsAreHandedOver(t *testing.T) {
	t.Parallel()
	const id = "000000000000002a"
	predecessor, successor := newTestGeneration(t), newTestGeneration(t)
	if err := predecessor.Acquire(nil, false, false); err != nil {
		t.Fatal(err)
	}
	event := policy.Event{Request: id, Class: "sign", Object: "x", Remaining: microsPerSecond, Write: true}
	if _, err := predecessor.engine.Open(clock.Now(), event, func() {}); err != nil {
		t.Fatal(err)
	}
	if err := successor.Acquire(predecessor.Release(), false, false); err != nil {
		t.Fatal(err)
	}
	if _, err := successor.engine.Open(clock.Now(), event, func() {}); !errors.Is(err, engine.ErrExecuted) {
		t.Errorf("opened again: error %v, want ErrExecuted", err)
	}
}
