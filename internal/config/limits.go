package config

import (
	"cmp"
	"time"

	"quilldoor/internal/settings"
)

// Limits bound the sizes, counts and times of connections to clients, endpoints and the
// discovery service. They are derived from the configuration, which has no keys for most
// of them.
type Limits struct {
	MemoryBytes int64 // soft limit of the garbage collector

	MaxDescriptors      int // open descriptors of the process
	MaxClients          int // client connections; a new one beyond it replaces an idle one
	MaxUpstreamConns    int // connections to all endpoints
	MaxConnsPerEndpoint int // connections to an endpoint before attempts share one
	MaxStreamsPerConn   int // concurrent attempts on a connection

	MaxHeadBytes     int   // bytes of a message's head
	MaxHeaderFields  int   // number of fields in a message's head
	MaxRequestBody   int   // bytes of a client's body
	MaxDiscardBytes  int   // bytes of a rejected request that are read and discarded so that the client reads the rejection
	MaxResponseBody  int   // bytes of a cache server's body
	MaxDiscoveryBody int   // bytes of the discovery service's response
	MaxBufferedBytes int64 // bytes of all bodies in memory

	MaxRequestTimeout     time.Duration // longer timeouts of clients are reduced to it
	RequestReadTimeout    time.Duration // from a request's first byte, or the start of the connection for its first request, to the last byte
	ClientIdleTimeout     time.Duration // between two requests
	LingeringCloseTimeout time.Duration // for writing an error or a late response, and for discarding the rest of a request
	ResponseGrace         time.Duration // past a request's deadline, for a client that reads a timely response slowly
	ConnectTimeout        time.Duration // of a connection to an endpoint
	MaxDecisionAge        time.Duration // age of the decision on an attempt when the attempt is written
	UpstreamIdleTimeout   time.Duration // of a connection to an endpoint
	WriteTimeout          time.Duration // of a write to an endpoint
	ResponseReadTimeout   time.Duration // for an endpoint to finish a response that it began
	ReadStallTimeout      time.Duration // between two reads of a response
	LateResponseWindow    time.Duration // in which the response to an abandoned attempt may still arrive
	PollWait              time.Duration // how long the discovery service may hold a poll
	PollGrace             time.Duration // beyond PollWait until a poll is late, and for connecting to the discovery service
	PollBackoffMin        time.Duration // after the first failed or late poll; doubles with each further one
	PollBackoffMax        time.Duration // upper bound of the backoff
	PollLossTime          time.Duration // past PollWait, or a broken connection, until the router is expected to know of the events meanwhile
	EventDeliveryTime     time.Duration // until the router is expected to know of any event of the discovery service

	Hedging bool // a request may have two attempts in flight

	// The phases of a shutdown after SIGTERM, in this order.
	ShutdownAcceptTime time.Duration // new connections are still accepted
	ShutdownServeTime  time.Duration // requests on open connections are still served
	DrainTimeout       time.Duration // accepted requests are finished
}

const (
	defaultConnectTimeout      = 400 * time.Millisecond // where ConnectTimeoutMs is 0
	defaultUpstreamIdleTimeout = 15 * time.Second       // where ConnIdleMs is 0

	// responseReadSlack is the time beyond the longest request timeout that an endpoint may
	// take to finish a response.
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

		// A connection whose request is never completed has to be closed within 3 s.
		// Typical clients close their idle connections after 4 s.
		RequestReadTimeout:    2500 * time.Millisecond,
		ClientIdleTimeout:     5 * time.Second,
		LingeringCloseTimeout: 400 * time.Millisecond,
		ResponseGrace:         50 * time.Millisecond,

		WriteTimeout:      100 * time.Millisecond,
		ReadStallTimeout:  400 * time.Millisecond,
		PollWait:          time.Second,
		PollGrace:         500 * time.Millisecond,
		PollBackoffMin:    20 * time.Millisecond,
		PollBackoffMax:    250 * time.Millisecond,
		PollLossTime:      2 * time.Second, // this and the next are the platform's
		EventDeliveryTime: 7 * time.Second,

		ShutdownAcceptTime: 450 * time.Millisecond,
		ShutdownServeTime:  250 * time.Millisecond,

		Hedging: s.Limits.SecondCopies,
	}
	limits.divideMemory(int64(memoryMB)<<20, sockets)
	limits.deriveTimes(s)
	return limits
}

// divideMemory derives the limits that follow from the memory, in bytes, and the
// descriptors.
func (l *Limits) divideMemory(memory int64, sockets int) {
	// The remaining three eighths are for stacks, socket structures and the
	// collector's overshoot.
	l.MemoryBytes = memory * 5 / 8

	// Clients usually hold at most a third of the descriptors. The fifth that both
	// bounds leave covers the listener, discovery and connections that are being
	// closed. At 16 kB to 20 kB each, all connections take at most three eighths of
	// the memory; bodies take at most half as much.
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

	// SIGKILL follows SIGTERM after 0.7 s plus the longest request timeout at the
	// earliest. The three phases of a shutdown have to fit into that time.
	l.DrainTimeout = max(l.MaxRequestTimeout-l.ResponseGrace, l.ResponseGrace)

	// Endpoints close idle connections after the full time. The router closes them
	// earlier, so that no attempt is sent while the endpoint closes its connection.
	l.UpstreamIdleTimeout = cmp.Or(fromMillis(s.Limits.ConnIdleMs), defaultUpstreamIdleTimeout) * 4 / 5

	// An attempt may wait this long for its connection. Drains and purges that
	// arrive between its decision and its write must still be within their grace.
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
