package checker

import (
	"fmt"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

const ms, second = int64(1000), int64(1_000_000) // microseconds

// Settings are the rules' figures. Times are microseconds.
type Settings struct {
	Classes     []policy.TrafficClass
	AnswerSlack int64
	DrainGrace  int64
	PurgeGrace  int64
	// NotificationDeadline is when what discovery tells counts as told at the latest.
	NotificationDeadline int64
}

// The rules by their numbers.
const (
	ruleOneAnswer = 1 + iota
	ruleNoDuplicateEffect
	ruleNothingToDraining
	ruleSlowStart
	ruleNoStaleCopy
	ruleCount
)

// Violation is a broken rule.
type Violation struct {
	Rule     int
	At       int64 // microseconds
	Router   int
	Request  string
	Endpoint string
	Text     string
}

func (v Violation) String() string {
	s := fmt.Sprintf("%.6f s: rule %d: router %d", seconds(v.At), v.Rule, v.Router)
	if v.Request != "" {
		s += ", request " + v.Request
	}
	if v.Endpoint != "" {
		s += ", endpoint " + v.Endpoint
	}
	return s + ": " + v.Text
}

func seconds(micros int64) float64 { return float64(micros) / float64(second) }

// Checker takes the lines of an event log in their order.
type Checker struct {
	settings Settings
	classes  map[string]policy.TrafficClass
	now      int64

	requests map[requestID]*request
	// ofDeadRouters may still arrive where their router had forwarded them.
	ofDeadRouters map[requestID]*request
	ended         []endedRequest // to be forgotten

	listed   map[string]listing              // by endpoint
	notified map[int]map[string]notification // by router and endpoint
	purges   map[int][]purge                 // by router
	stalls   map[int]stall                   // by router: the last one

	Violations  []Violation // the first hundred
	CountByRule [ruleCount]int
	Checked     int // requests

	// Excused requests were due while their router's process stood still, or within the
	// time it has to wake up. They are no violations; what the router does after it has
	// woken up is judged in full.
	Excused int
}

// New makes a checker.
func New(settings Settings) *Checker {
	c := &Checker{
		settings:      settings,
		classes:       map[string]policy.TrafficClass{},
		requests:      map[requestID]*request{},
		ofDeadRouters: map[requestID]*request{},
		listed:        map[string]listing{},
		notified:      map[int]map[string]notification{},
		purges:        map[int][]purge{},
		stalls:        map[int]stall{},
	}
	for _, class := range settings.Classes {
		c.classes[class.Name] = class
	}
	return c
}

func (c *Checker) violate(rule int, e *eventlog.Entry, format string, args ...any) {
	const maxViolations = 100
	c.CountByRule[rule]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{
			Rule: rule, At: e.At, Router: e.Router, Request: e.Request, Endpoint: e.Endpoint, Text: fmt.Sprintf(format, args...),
		})
	}
}

// HasViolations tells whether any rule was broken.
func (c *Checker) HasViolations() bool { return len(c.Violations) > 0 }

// Observe takes a line.
func (c *Checker) Observe(e *eventlog.Entry) {
	c.now = e.At
	switch e.Kind {
	case eventlog.KindTaken:
		c.requestTaken(e)
	case eventlog.KindRefused:
		delete(c.requests, requestID{e.Router, e.Request})
	case eventlog.KindForwarded:
		c.requestForwarded(e)
	case eventlog.KindSent:
		c.attemptSent(e)
	case eventlog.KindRan:
		c.attemptRan(e)
	case eventlog.KindEnded:
		c.attemptEnded(e)
	case eventlog.KindAnswered:
		c.requestAnswered(e)
	case eventlog.KindLeft:
		c.clientLeft(e)
	case eventlog.KindWrong:
		c.violate(ruleOneAnswer, e, "served what no endpoint made for it: %s", e.State)
	case eventlog.KindListed:
		c.endpointListed(e)
	case eventlog.KindNotified:
		c.endpointNotified(e)
	case eventlog.KindOverloaded:
		c.violate(ruleSlowStart, e, "sent %.2f s of work within the window while it was warming up: it fell over", e.Work)
	case eventlog.KindPurgeNotified:
		c.purgeNotified(e)
	case eventlog.KindRouterDown:
		c.routerDown(e)
	case eventlog.KindRouterUp:
		c.routerUp(e)
	case eventlog.KindRouterStopped:
		c.stalls[e.Router] = stall{from: e.At}
	case eventlog.KindRouterWoken:
		c.routerWoken(e)
	case eventlog.KindCrashed:
		c.excuseRequestsOf(e.Router)
	}
	c.forgetEnded()
}
