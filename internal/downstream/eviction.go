package downstream

import (
	"slices"
	"time"
)

// admit adds a client. At the client limit it evicts another one first. While a
// connection that was evicted or shut down is still closing, its slot is awaited.
// Lingering connections don't count: they have a limit of their own.
func (s *Server) admit(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients)-s.lingering >= s.maxClients && !s.limitSuspended {
		if s.openClients() >= s.maxClients {
			s.evictClient()
		}
		s.slotFreed.Wait()
	}
	s.clients[c] = struct{}{}
}

// openClients returns the number of clients whose connections are not closing.
func (s *Server) openClients() (open int) {
	for c := range s.clients {
		if c.state != clientClosing && c.state != clientLingering {
			open++
		}
	}
	return open
}

// evictClient closes a connection on which no request is waiting or being served, if there is
// one: the first of one whose client has disconnected, the oldest of those that never had a
// response, and the one that has been idle longest. Clients that connect without sending a
// request may come by the hundreds, so they are evicted before others, which can send their
// next request on a new connection. If a request is waiting on all of them, a client is
// evicted that sent it ahead of the response to its previous one.
func (s *Server) evictClient() {
	var sendsAhead *client
	for _, c := range s.evictable() {
		switch hasUnread, disconnected := c.pollSocket(); {
		case disconnected:
			c.closeNow()
			return
		case !hasUnread && (c.state == clientIdle || c.arrivals.waiting.Load()):
			c.evict()
			return
		case sendsAhead == nil && c.sentAhead:
			sendsAhead = c
		}
	}
	if sendsAhead != nil {
		sendsAhead.closeNow()
	}
}

// evictable returns the clients that wait for a request, or for the rest of one, or to read it,
// in the order of their eviction.
func (s *Server) evictable() (list []*client) {
	for c := range s.clients {
		if c.state == clientIdle || c.state == clientSending {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, (*client).compareEviction)
	return list
}

// evict ends the wait for a request, or for the rest of one. If bytes arrive at the same moment,
// the connection's goroutine goes on with them. The caller holds the server's lock.
func (c *client) evict() {
	c.state = clientClosing
	c.resumable = true
	c.SetReadDeadline(time.Now())
}

// closeNow closes the connection, whatever is unread on it. The caller holds the server's lock.
func (c *client) closeNow() {
	c.state = clientClosing
	c.Close()
}

// isClosing reports whether the connection was evicted or shut down.
func (s *Server) isClosing(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.state == clientClosing
}

// setState sets a connection's state. It returns false if the connection was evicted or shut down:
// no request may begin on it, unless it was being read at that moment.
func (s *Server) setState(c *client, state clientState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == clientClosing {
		if !c.resumable {
			return false
		}
		c.resumable = false
		s.slotFreed.Signal() // another client has to be evicted
	}
	c.state = state
	if state == clientIdle {
		c.served = true
		c.idleSince = time.Now()
		s.slotFreed.Signal()
	}
	return true
}
