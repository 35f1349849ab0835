package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// replacedEndpoint is an endpoint whose machine vanishes: its connections stay open and silent. A new
// process at its address answers on new connections.
type replacedEndpoint struct {
	net.Listener
	vanished  atomic.Bool
	swallowed atomic.Int32 // attempts that were sent to the process that is gone
}

func newReplacedEndpoint(t *testing.T) *replacedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &replacedEndpoint{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, e.vanished.Load())
		}
	}()
	return e
}

// serve answers on a connection of the new process, and of the old one until it is gone.
func (e *replacedEndpoint) serve(conn net.Conn, isNew bool) {
	defer conn.Close()
	for scanner := bufio.NewScanner(conn); scanner.Scan(); {
		words := strings.Fields(scanner.Text())
		if len(words) == 0 || words[0] != "GET" {
			continue
		}
		if e.vanished.Load() && !isNew {
			e.swallowed.Add(1)
			continue
		}
		fmt.Fprint(conn, ack(words[1], "text"))
	}
}

// Guards against work that goes nowhere: an endpoint is listed with a new start, at its address and
// under its id, and the router still sends on connections to the process that has gone.
func TestNewProcessAtAnAddressGetsNewConnections(t *testing.T) {
	t.Parallel()
	endpoint := newReplacedEndpoint(t)
	router := startRouter(t, endpoint.Addr().String(), endpoint.Addr().String())
	client := dial(t, router.addr)
	ask := func() {
		client.sendRequest("GET", "/rpc/page/x", "", "")
		client.expectStatus(t, "200")
	}
	ask()
	endpoint.vanished.Store(true)
	const restarted = `{"uid":"%s","endpoint":"%s","az":"z","model":"%s","state":"ready","capacity_hint":50,"boot_ms":%d}`
	startedMillis := time.Now().UnixMilli()
	update := `}]}},{"rev":2,"pool":{"targets":[` + fmt.Sprintf(restarted, "c", endpoint.Addr(), "box", startedMillis) + "," +
		fmt.Sprintf(restarted, "o", endpoint.Addr(), "origin", startedMillis) + `]}}]}`
	router.writeConfig(t, strings.Replace(router.config, `}]}}]}`, update, 1))
	router.reload <- syscall.SIGHUP
	router.waitForLog(t, "scope=diff")
	for range 5 {
		ask()
	}
	if swallowed := endpoint.swallowed.Load(); swallowed > 0 {
		t.Errorf("%d attempts were sent to the process that has gone", swallowed)
	}
}
