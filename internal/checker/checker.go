package checker

import (
	"fmt"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// Units of time in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
)

// Settings are the limits that the rules check against. Times are microseconds.
type Settings struct {
	Classes     []policy.TrafficClass
	AnswerSlack int64
	DrainGrace  int64
	PurgeGrace  int64
	// NotificationDeadline is the time after a change of the endpoint list from which on every
	// router counts as notified of it.
	NotificationDeadline int64
	// OverloadWindow is the window over which the work that reaches a warming endpoint is summed.
	OverloadWindow int64
}

// The numbers of the rules.
const (
	ruleOneAnswer = 1 + iota
	ruleNoDuplicateEffect
	ruleNothingToDraining
	ruleSlowStart
	ruleNoStaleCopy
	// RuleCount is the length of an array indexed by rule number; index 0 is unused.
	RuleCount
)

// Violation is an entry of the log that violates a rule.
type Violation struct {
	Rule     int
	At       int64 // microseconds
	Router   int
	Request  string
	Endpoint string
	Text     string
}

func (v Violation) String() string {
	text := fmt.Sprintf("%.6f s: rule %d: router %d", seconds(v.At), v.Rule, v.Router)
	if v.Request != "" {
		text += ", request " + v.Request
	}
	if v.Endpoint != "" {
		text += ", endpoint " + v.Endpoint
	}
	return text + ": " + v.Text
}

func seconds(micros int64) float64 { return float64(micros) / float64(second) }

// Checker checks the entries of an event log, in the order of the log.
type Checker struct {
	settings Settings
	classes  map[string]policy.TrafficClass
	now      int64

	requests map[requestID]*request
	// requestsOfDownRouters may still arrive at the routers that they were forwarded to.
	requestsOfDownRouters map[requestID]*request
	ended                 []endedRequest // kept for endedRetention

	listed      map[string]listing              // by endpoint
	notified    map[int]map[string]notification // by router and endpoint
	purges      map[int][]purge                 // by router
	suspensions map[int]suspension              // by router: the last one
	warming     map[string]*warmUp              // by endpoint: of its last start

	Violations  []Violation // the first hundred
	CountByRule [RuleCount]int
	Checked     int // requests

	// Excused counts requests that were due while their router's process was suspended or within
	// resumeGrace after that, and unanswered requests of a router of which a process was killed.
	// They are not violations. Everything the router does after it resumes is checked in full.
	Excused int
	// LateNotices counts endpoints that collapsed under work of routers that had not been notified
	// of the start. They are not violations of rule 4.
	LateNotices int
	// Unsent counts attempts to endpoints that drained or were removed, by routers that count as
	// notified and were not, that ended without a connection. They are not violations of rule 3.
	Unsent int
}

// New returns a checker that has seen no entries.
func New(settings Settings) *Checker {
	c := &Checker{
		settings:              settings,
		classes:               map[string]policy.TrafficClass{},
		requests:              map[requestID]*request{},
		requestsOfDownRouters: map[requestID]*request{},
		listed:                map[string]listing{},
		notified:              map[int]map[string]notification{},
		purges:                map[int][]purge{},
		suspensions:           map[int]suspension{},
		warming:               map[string]*warmUp{},
	}
	for _, class := range settings.Classes {
		c.classes[class.Name] = class
	}
	return c
}

func (c *Checker) violate(rule int, entry *eventlog.Entry, format string, args ...any) {
	const maxViolations = 100
	c.CountByRule[rule]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{
			Rule: rule, At: entry.At, Router: entry.Router, Request: entry.Request, Endpoint: entry.Endpoint,
			Text: fmt.Sprintf(format, args...),
		})
	}
}

// HasViolations reports whether any rule was violated.
func (c *Checker) HasViolations() bool { return len(c.Violations) > 0 }

// Observe checks the next entry of the log.
func (c *Checker) Observe(entry *eventlog.Entry) {
	c.now = entry.At
	c.observeRequest(entry)
	c.observeEndpoint(entry)
	c.observeRouter(entry)
	c.expireEnded()
}

// observeRequest checks an entry about a request or one of its attempts, and ignores others.
func (c *Checker) observeRequest(entry *eventlog.Entry) {
	switch entry.Kind {
	case eventlog.KindReceived:
		c.requestTaken(entry)
	case eventlog.KindRefused:
		delete(c.requests, requestID{entry.Router, entry.Request})
	case eventlog.KindForwarded:
		c.requestForwarded(entry)
	case eventlog.KindSent:
		c.attemptSent(entry)
	case eventlog.KindRan:
		c.attemptRan(entry)
	case eventlog.KindEnded:
		c.attemptEnded(entry)
	case eventlog.KindAnswered:
		c.requestAnswered(entry)
	case eventlog.KindClientTimedOut:
		c.clientLeft(entry)
	case eventlog.KindMismatch:
		c.violate(ruleOneAnswer, entry, "served a response that no endpoint made for the request: %s", entry.State)
	}
}

// observeEndpoint checks an entry about an endpoint, the endpoint list or a purge, and ignores others.
func (c *Checker) observeEndpoint(entry *eventlog.Entry) {
	switch entry.Kind {
	case eventlog.KindListed:
		c.endpointListed(entry)
	case eventlog.KindNotified:
		c.endpointNotified(entry)
	case eventlog.KindStarted:
		c.warming[entry.Endpoint] = &warmUp{startedAt: entry.At}
	case eventlog.KindWarmingWork:
		c.warmingWorkArrived(entry)
	case eventlog.KindOverloaded:
		c.checkOverload(entry)
	case eventlog.KindPurgeNotified:
		c.purgeNotified(entry)
	}
}

// observeRouter checks an entry about a router's process, and ignores others.
func (c *Checker) observeRouter(entry *eventlog.Entry) {
	switch entry.Kind {
	case eventlog.KindRouterDown:
		c.routerDown(entry)
	case eventlog.KindRouterUp:
		c.routerUp(entry)
	case eventlog.KindRouterSuspended:
		c.suspensions[entry.Router] = suspension{from: entry.At}
	case eventlog.KindRouterResumed:
		c.routerResumed(entry)
	case eventlog.KindCrashed:
		c.excuseRequestsOf(entry.Router)
	}
}
