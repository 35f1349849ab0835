package downstream

import (
	"slices"
	"time"
)

// lingeringDivisor gives the limit on lingering connections: the client limit divided by it.
const lingeringDivisor = 4

// close closes a client's connection. One that was evicted or shut down has no response to read.
func (s *Server) close(c *client) {
	if !s.beginLingering(c) {
		c.Close()
		return
	}
	c.lingeringClose(s.limits.LingeringCloseTimeout, s.limits.MaxDiscardBytes)
}

// beginLingering makes a client's slot free while its connection lingers. Beyond the limit on
// lingering connections it closes another one. It returns false if the connection was evicted or
// shut down.
func (s *Server) beginLingering(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == clientClosing {
		return false
	}
	c.state = clientLingering
	c.idleSince = time.Now()
	s.lingering++
	s.slotFreed.Signal()
	if s.lingering > max(s.maxClients/lingeringDivisor, 1) {
		s.endLingering()
	}
	return true
}

// endLingering closes a lingering connection: the oldest of those on which nothing is left to send
// and nothing is unread, since a close would take the response from a client that has not read it;
// if there is none, the oldest.
func (s *Server) endLingering() {
	var list []*client
	for c := range s.clients {
		if c.state == clientLingering {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *client) int { return a.idleSince.Compare(b.idleSince) })
	if len(list) == 0 {
		return
	}
	victim := list[0]
	for _, c := range list {
		if hasUnread, _ := c.pollSocket(); !hasUnread && c.unsentBytes() == 0 {
			victim = c
			break
		}
	}
	s.lingering--
	victim.closeNow()
}
