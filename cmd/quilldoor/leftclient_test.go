package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against attempts for a client that has left, behind requests that it sent ahead: those that
// stand in the buffers of the router and of its socket, when the client's end has arrived behind them.
func TestRequestsSentAheadAreNotSentOnOnceTheClientHasLeft(t *testing.T) {
	t.Parallel()
	const (
		respondAfter = 5 * time.Millisecond
		settled      = 300 * time.Millisecond // an attempt on the way when the client left
		watched      = 500 * time.Millisecond
		firstID      = 1 << 52
	)
	for _, bytes := range []int{4 << 10, 60 << 10, 200 << 10, 4 << 20} {
		t.Run(fmt.Sprintf("%d bytes ahead", bytes), func(t *testing.T) {
			t.Parallel()
			cache := newFakeEndpoint(t, func(id, _, _ string) string {
				time.Sleep(respondAfter)
				return ack(id, "text")
			})
			conn, err := net.Dial("tcp", startRouter(t, cache.Addr().String(), cache.Addr().String()).addr)
			if err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)) // the router's socket may be full
			var ahead strings.Builder
			for id := uint64(firstID); ahead.Len() < bytes; id++ {
				fmt.Fprintf(&ahead, "GET /rpc/page/x HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1900\r\nX-Shard: 1\r\n\r\n", id)
			}
			io.WriteString(conn, ahead.String())
			conn.Close()
			time.Sleep(settled)
			for len(cache.received) > 0 {
				<-cache.received
			}
			time.Sleep(watched)
			attempts := 0
			for len(cache.received) > 0 {
				if strings.HasPrefix(<-cache.received, "GET ") {
					attempts++
				}
			}
			if attempts > 0 {
				t.Errorf("%d attempts later than %v after the client left", attempts, settled)
			}
		})
	}
}
