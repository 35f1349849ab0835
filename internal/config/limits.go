package config

import (
	"cmp"
	"time"

	"quilldoor/internal/settings"
)

// Limits are the sizes, counts and times that connections to clients, endpoints and the
// discovery service keep to. They are derived from the configuration; no key sets one
// alone.
type Limits struct {
	MemoryBytes int64 // that the garbage collector aims to stay under

	MaxDescriptors      int // of the process
	MaxClients          int // connections; a new one beyond it takes the place of an idle one
	MaxUpstreamConns    int // connections to all endpoints
	MaxConnsPerEndpoint int // before attempts share a connection
	MaxStreamsPerConn   int // attempts on a connection

	MaxHeadBytes     int   // of a message's head
	MaxHeaderFields  int   // number of fields in a message's head
	MaxRequestBody   int   // bytes of a client's body
	MaxDiscardBytes  int   // of a rejected request, read and thrown away so that the client reads the rejection
	MaxResponseBody  int   // bytes of a cache server's body
	MaxDiscoveryBody int   // bytes of the discovery service's response
	MaxBufferedBytes int64 // of all bodies in memory

	MaxRequestTimeout     time.Duration // longer timeouts of clients are cut to this
	RequestReadTimeout    time.Duration // from a request's first byte (the first one's: connection's start) to its last
	ClientIdleTimeout     time.Duration // between two requests
	LingeringCloseTimeout time.Duration // to write a rejection, and to read on behind it
	ResponseGrace         time.Duration // past a request's deadline, for a slow reader
	ConnectTimeout        time.Duration // to an endpoint
	MaxDecisionAge        time.Duration // of the decision on an attempt when it is written
	UpstreamIdleTimeout   time.Duration // of a connection to an endpoint
	WriteTimeout          time.Duration // for an endpoint to take a write in
	ResponseReadTimeout   time.Duration // for an endpoint to finish a response that it began
	ReadStallTimeout      time.Duration // between two pieces of a response
	LateResponseWindow    time.Duration // in which the response to an abandoned attempt may still come
	PollWait              time.Duration // how long the discovery service may hold a poll
	PollGrace             time.Duration // beyond PollWait until a poll fails
	PollBackoffMin        time.Duration // after a failed poll, doubling
	PollBackoffMax        time.Duration

	ShutdownAcceptTime time.Duration // after SIGTERM: new connections are accepted
	ShutdownServeTime  time.Duration // then: requests on open connections are served
	DrainTimeout       time.Duration // then: requests that were taken are finished
}

const (
	defaultConnectTimeout      = 400 * time.Millisecond // without ConnectTimeoutMs
	defaultUpstreamIdleTimeout = 15 * time.Second       // without ConnIdleMs

	// responseReadSlack is how much longer than the longest request timeout an endpoint
	// may take to finish a response.
	responseReadSlack = time.Second
)

func newLimits(s *settings.Setup, memoryMB, sockets int) *Limits {
	limits := &Limits{
		MaxDescriptors:      sockets,
		MaxConnsPerEndpoint: 64,
		MaxStreamsPerConn:   max(s.Limits.StreamsPerConn, 1),

		MaxHeadBytes:    16 << 10,
		MaxHeaderFields: 64,
		MaxRequestBody:  48_000,
		MaxDiscardBytes: 256 << 10,
		MaxResponseBody: 240_000,

		// A client that never gets to a request is owed an end within 3 s; usual
		// ones close their idle connections after 4 s.
		RequestReadTimeout:    2500 * time.Millisecond,
		ClientIdleTimeout:     5 * time.Second,
		LingeringCloseTimeout: 400 * time.Millisecond,
		ResponseGrace:         50 * time.Millisecond,

		WriteTimeout:     100 * time.Millisecond,
		ReadStallTimeout: 400 * time.Millisecond,
		PollWait:         time.Second,
		PollGrace:        500 * time.Millisecond,
		PollBackoffMin:   20 * time.Millisecond,
		PollBackoffMax:   250 * time.Millisecond,

		ShutdownAcceptTime: 450 * time.Millisecond,
		ShutdownServeTime:  250 * time.Millisecond,
	}
	limits.divideMemory(int64(memoryMB)<<20, sockets)
	limits.deriveTimes(s)
	return limits
}

// divideMemory derives the limits that follow from the memory, in bytes, and the
// descriptors.
func (l *Limits) divideMemory(memory int64, sockets int) {
	// The rest is for stacks, the sockets' structures and what the collector
	// overshoots.
	l.MemoryBytes = memory * 5 / 8

	// Clients usually hold a third of the descriptors at most; what both bounds
	// leave covers the listener, discovery and connections that are being closed.
	// At 16 kB to 20 kB each, all connections fill three eighths of the memory at
	// most; bodies fill half of that.
	const bytesPerClient, bytesPerUpstreamConn = 64 << 10, 128 << 10
	l.MaxClients = min(sockets*2/5, int(memory/bytesPerClient))
	l.MaxUpstreamConns = min(sockets*2/5, int(memory/bytesPerUpstreamConn))
	l.MaxBufferedBytes = memory * 3 / 16
	l.MaxDiscoveryBody = int(min(4<<20, memory/16))
}

// deriveTimes derives the limits that follow from the settings' times.
func (l *Limits) deriveTimes(s *settings.Setup) {
	for _, class := range s.Classes {
		l.MaxRequestTimeout = max(l.MaxRequestTimeout, fromMillis(class.GiveUpMs))
	}
	l.ResponseReadTimeout = l.MaxRequestTimeout + responseReadSlack
	l.LateResponseWindow = 2 * l.MaxRequestTimeout

	// SIGKILL comes no sooner than 0.7 s and the longest request timeout after
	// SIGTERM, and the three times of a shutdown must stay within that.
	l.DrainTimeout = max(l.MaxRequestTimeout-l.ResponseGrace, l.ResponseGrace)

	// Servers close idle connections at the full time; an attempt must not cross
	// that on its way.
	l.UpstreamIdleTimeout = cmp.Or(fromMillis(s.Limits.ConnIdleMs), defaultUpstreamIdleTimeout) * 4 / 5

	// An attempt may wait this long for its connection. When it is written, the
	// drains and purges that came since its decision must not bind it yet.
	l.ConnectTimeout = cmp.Or(fromMillis(s.Limits.ConnectTimeoutMs), defaultConnectTimeout)
	l.MaxDecisionAge = l.MaxRequestTimeout
	for _, graceMillis := range []float64{s.Contract.DrainGraceMs, s.FamilyInfo.PurgeGraceMs} {
		if graceMillis > 0 {
			l.ConnectTimeout = min(l.ConnectTimeout, fromMillis(graceMillis)*3/4)
			l.MaxDecisionAge = min(l.MaxDecisionAge, fromMillis(graceMillis)*9/10)
		}
	}
}

func fromMillis(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
