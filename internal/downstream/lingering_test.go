package downstream

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against requests of new clients that are neither answered nor refused, because connections
// that were answered already hold all slots until their clients close them.
func TestAnsweredConnectionsHoldNoSlot(t *testing.T) {
	const clients = 3
	s := newTestServer(t, 1, 10*time.Second) // connections linger for 10 s, a client waits for 5 s
	lastRequest := strings.Replace(requestText, "Host: x", "Host: x\r\nConnection: close", 1)
	var answered []*testClient
	for i := range clients {
		client := s.connect(t)
		if got := client.roundTrip(fmt.Sprintf(lastRequest, i)); got != "503" {
			t.Fatalf("client %d: status %q, want 503", i, got)
		}
		answered = append(answered, client)
	}
	for _, client := range answered {
		client.expectClosed(t)
	}
	s.await(t, 1, func(c *client) bool { return c.state == clientLingering })
	for end := time.Now().Add(5 * time.Second); s.Clients() > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections linger, the limit is 1", s.Clients())
		}
	}
}
