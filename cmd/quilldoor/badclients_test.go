package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// badClientsVariable is an environment variable. Where it is set, the test binary sends the
	// requests of bad clients in place of the tests. Its value is a kind and an address.
	badClientsVariable = "QUILLDOOR_TEST_BAD_CLIENTS"

	badConnections   = 200             // at once; with the usual clients under a third of the descriptors
	badClientsTime   = 4 * time.Second // for which they send
	badClientsCores  = 2
	maxErrorDelay    = 3 * time.Second // from the connect until a bad client has an error or a close
	maxErrorDelayPut = 6 * time.Second // the same for a client that has 60 MB to send
	hugeBodyBytes    = 60 << 20

	// oneConnection is the kind of a single bad client.
	oneConnection = "one without end"

	usualPeriod    = 15 * time.Millisecond
	maxAnswerDelay = 550 * time.Millisecond // past its time a request is lost: half a second, and 50 ms on sockets
	maxTestLag     = 100 * time.Millisecond // of the test's own goroutines
)

// badClientKinds are the bad clients by kind. Each function uses one connection and returns when
// the client leaves or has got what it is owed.
var badClientKinds = map[string]func(*badConnection) error{
	"much at once and gone": func(c *badConnection) error {
		go c.discard()
		return c.send(strings.Repeat(unknownClassRequest, 100))
	},
	"much at once": func(c *badConnection) error {
		if err := c.send(strings.Repeat(unknownClassRequest, 100)); err != nil {
			return err
		}
		return c.awaitErrors(100)
	},
	"much without end": func(c *badConnection) error {
		go c.discard()
		c.sendUntilClosed(strings.Repeat(unknownClassRequest, 100))
		return nil
	},
	"again at once": func(c *badConnection) error {
		for range 50 {
			if err := c.send(unknownClassRequest); err != nil {
				return err
			}
			if err := c.awaitErrors(1); err != nil {
				return err
			}
		}
		return nil
	},
	"noise": func(c *badConnection) error {
		if err := c.send("\x00\x01 noise\r\n\r\n"); err != nil {
			return err
		}
		return c.awaitErrors(1)
	},
	"endless head": func(c *badConnection) error {
		if err := c.send("GET /rpc/page/x HTTP/1.1\r\n"); err != nil {
			return err
		}
		c.sendUntilClosed(strings.Repeat("A: b\r\n", 100))
		return c.awaitErrors(1)
	},
	"half a request": func(c *badConnection) error { return c.send("GET /rpc/page/x HT") },
	oneConnection: func(c *badConnection) error {
		go c.discard()
		c.sendUntilClosed(strings.Repeat(unknownClassRequest, 100))
		return nil
	},
	"huge body": func(c *badConnection) error {
		head := fmt.Sprintf("PUT /rpc/sign/x HTTP/1.1\r\nHost: o\r\nContent-Length: %d\r\n\r\n", hugeBodyBytes)
		if err := c.send(head); err != nil {
			return err
		}
		chunk := strings.Repeat("x", 64<<10)
		for range hugeBodyBytes / len(chunk) {
			if c.send(chunk) != nil {
				break
			}
		}
		return c.awaitErrors(1)
	},
}

const unknownClassRequest = "GET /rpc/no-such-class/x HTTP/1.1\r\nHost: o\r\nX-Txn: 00000000000000aa\r\nX-Ttl-Ms: 900\r\nX-Shard: 1\r\n\r\n"

// badConnection is a connection of a bad client.
type badConnection struct {
	net.Conn
	reader *bufio.Reader
}

func (c *badConnection) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// discard reads until the connection ends.
func (c *badConnection) discard() { _, _ = io.Copy(io.Discard, c) } // the client or the router may close it

// sendUntilClosed repeats a text until the connection fails or its deadline passes.
func (c *badConnection) sendUntilClosed(text string) {
	var err error
	for err == nil {
		err = c.send(text)
	}
}

// awaitErrors reads a number of responses. The end of the connection counts as all that are left.
func (c *badConnection) awaitErrors(count int) error {
	for range count {
		response, err := http.ReadResponse(c.reader, nil)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if err != nil {
			return nil
		}
		response.Body.Close()
		if response.StatusCode < http.StatusBadRequest {
			return fmt.Errorf("status %d for a bad request", response.StatusCode)
		}
	}
	return nil
}

// sendBadRequests is the process of the bad clients. It sends at full speed, and prints how many
// connections got neither an error nor a close in time.
func sendBadRequests(kind, addr string) {
	owed := maxErrorDelay
	if kind == "huge body" {
		owed = maxErrorDelayPut
	}
	var clients sync.WaitGroup
	var connections, unanswered atomic.Int64
	until := time.Now().Add(badClientsTime)
	count := badConnections
	if kind == oneConnection {
		count = 1
	}
	for range count {
		clients.Go(func() {
			for time.Now().Before(until) {
				conn, err := net.DialTimeout("tcp", addr, maxErrorDelay)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				connections.Add(1)
				conn.SetDeadline(time.Now().Add(owed))
				err = badClientKinds[kind](&badConnection{conn, bufio.NewReader(conn)})
				if errors.Is(err, os.ErrDeadlineExceeded) || err != nil && strings.HasPrefix(err.Error(), "status") {
					unanswered.Add(1)
				}
				conn.Close()
			}
		})
	}
	clients.Wait()
	fmt.Printf("%d connections, %d without an error", connections.Load(), unanswered.Load())
}

// usualResult is how a request of a usual client ended.
type usualResult struct {
	id     string
	status int // 0: no response
	took   time.Duration
	late   bool
	err    error
}

// askUsually sends a request on a new connection and waits for the response until the request
// counts as lost.
func askUsually(addr string, number int) usualResult {
	result := usualResult{id: fmt.Sprintf("%016x", number)}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		result.err = err
		return result
	}
	defer conn.Close()
	timeout := time.Duration(500+number%500) * time.Millisecond
	began := time.Now()
	conn.SetDeadline(began.Add(timeout + maxAnswerDelay))
	fmt.Fprintf(conn, "GET /rpc/page/o%d HTTP/1.1\r\nHost: o\r\nX-Txn: %s\r\nX-Ttl-Ms: %d\r\nX-Shard: 1\r\nConnection: close\r\n\r\n",
		number%50, result.id, timeout.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		result.err = err
		return result
	}
	response.Body.Close()
	result.status = response.StatusCode
	result.took = time.Since(began)
	result.late = result.took > timeout
	return result
}

// askForAWhile sends usual requests at their rate for as long as the bad clients send.
func askForAWhile(addr string) (results []usualResult, lag time.Duration) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for number := 0; time.Since(began) < badClientsTime; number++ {
		time.Sleep(time.Until(began.Add(time.Duration(number) * usualPeriod)))
		lag = max(lag, time.Since(began)-time.Duration(number)*usualPeriod)
		clients.Go(func() {
			result := askUsually(addr, number)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	clients.Wait()
	return results, lag
}

// startRouterProcess starts a router in a process of its own, with one core.
func startRouterProcess(t *testing.T, cache, origin string) (addr string) {
	t.Helper()
	addr = reserveAddress(t)
	path := t.TempDir() + "/config.json"
	writeFile(t, path, []byte(testRouterConfig(addr, cache, origin)))
	process := ownCommand("serve", "--config", path)
	process.Env = append(process.Env, "LB_CONFIG=", "LB_NAME=", "LB_LISTEN=", "LB_OPERATOR=")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	waitUntilHealthy(t, addr)
	return addr
}

// waitUntilHealthy waits until a router process serves.
func waitUntilHealthy(t *testing.T, addr string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); checkHealth(addr) != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the router isn't ready")
		}
	}
}

// Guards against requests of usual clients that are never answered, also such that were forwarded,
// since the router's core is busy with bad clients.
func TestRequestsAreAnsweredBesideBadClients(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(badClientKinds)) {
		t.Run(kind, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, func(id, _, _ string) string { return ack(id, "text") })
			go func() {
				for range endpoint.received { // else its channel fills up
				}
			}()
			addr := startRouterProcess(t, endpoint.Addr().String(), endpoint.Addr().String())
			bad := ownCommand()
			bad.Env = append(bad.Env, badClientsVariable+"="+kind+"@"+addr, fmt.Sprintf("GOMAXPROCS=%d", badClientsCores))
			var report strings.Builder
			bad.Stdout = &report
			if err := bad.Start(); err != nil {
				t.Fatal(err)
			}
			results, lag := askForAWhile(addr)
			if err := bad.Wait(); err != nil {
				t.Error(err)
			}
			judgeUsualResults(t, results, lag)
			if kind == oneConnection {
				judgeMedianDelay(t, results, lag)
			}
			t.Logf("bad clients: %s", report.String())
			if !strings.HasSuffix(report.String(), ", 0 without an error") {
				t.Error("bad clients without an error or a close in time")
			}
		})
	}
}

// judgeUsualResults checks that each request has a response. One whose connection stayed open
// without a response counts only if the test itself was in time.
func judgeUsualResults(t *testing.T, results []usualResult, lag time.Duration) {
	t.Helper()
	statuses, late := map[int]int{}, 0
	for _, result := range results {
		statuses[result.status]++
		if result.late {
			late++
		}
		silent := errors.Is(result.err, os.ErrDeadlineExceeded)
		if result.err != nil && (!silent || lag <= maxTestLag) {
			t.Errorf("request %s was not answered: %v", result.id, result.err)
		}
	}
	t.Logf("responses by status (0: none): %v, %d late; this test was late by %v at most", statuses, late, lag)
	if lag > maxTestLag {
		t.Log("silent connections were not judged")
	}
}

// judgeMedianDelay checks that responses don't wait for the system monitor of Go, which polls the
// network only after 10 ms without another poll, once for each step of a request.
func judgeMedianDelay(t *testing.T, results []usualResult, lag time.Duration) {
	t.Helper()
	const monitorPeriod = 10 * time.Millisecond
	slices.SortFunc(results, func(a, b usualResult) int { return cmp.Compare(a.took, b.took) })
	median := results[len(results)/2].took
	t.Logf("median delay %v", median)
	if median >= monitorPeriod && lag <= maxTestLag {
		t.Errorf("half of the usual requests took %v or more", median)
	}
}
