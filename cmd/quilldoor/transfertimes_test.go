package main

import (
	"strings"
	"testing"
	"time"
)

// Guards against a cold cache that is sent more than it bears because most clients hold a copy: the answer that their
// copy is current takes no time to send, and doesn't show how long a copy takes.
func TestCurrentCopiesDoNotShortenTransferTimes(t *testing.T) {
	const (
		transferTime = 30 * time.Millisecond
		copies       = 4
		confirmed    = 28 // together as many as the router keeps
	)
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "mine=e1") {
			return id + " NOMOD entity=e1,issued=7 0\r\n\r\n"
		}
		time.Sleep(transferTime)
		return ack(id, "bytes")
	})
	router := startRouter(t, cache.Addr().String(), cache.Addr().String())
	client := dial(t, router.addr)
	for range copies {
		client.sendRequest("GET", "/rpc/page/x", "", "")
		client.expectStatus(t, "200")
	}
	for range confirmed {
		client.sendRequest("GET", "/rpc/page/x", "If-None-Match: \"e1\"\r\n", "")
		client.expectStatus(t, "304")
	}
	times := (<-router.process).engine.Snapshot().TransferTimes["page"]
	if len(times) != copies {
		t.Errorf("%d transfer times known, want those of the %d copies", len(times), copies)
	}
	for _, known := range times {
		if known < transferTime.Microseconds() {
			t.Errorf("a transfer time of %d us is known, each copy took %v", known, transferTime)
		}
	}
}
