package simulation

import (
	"fmt"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// Ask is one try of a client.
type Ask struct {
	Router   int
	Txn      string
	Rule     int
	Object   string
	Group    int64
	Part     int64
	SizeKB   float64
	Limit    int64 // how long the client waits
	Again    bool  // marked as a client's retry
	Write    bool
	client   *client
	deadline int64
	open     bool
}

// Deadline is when the client's time is over.
func (a *Ask) Deadline() int64 { return a.deadline }

// client is one request with all its tries.
type client struct {
	office, rule      int
	object, part      int64
	attempts          int
	startedAt         int64
	viewer            *viewer // of which it is a part
	phase             string
	timeLimit         int64
	honoursRetryAfter bool
}

// sendRequest sends a request to one of the office's routers that the front knows as up.
func (w *World) sendRequest(client *client) {
	const noticed = 1 * second // a dead router gets clients for so long
	fleet := &w.scenario.Fleet
	var up []*router
	for _, router := range w.routers[client.office*fleet.Routers : (client.office+1)*fleet.Routers] {
		if router.up || w.now-router.downAt < noticed {
			up = append(up, router)
		}
	}
	client.attempts++
	if len(up) == 0 {
		w.retryOrFail(client, 0, true)
		return
	}
	router := up[w.random.IntN(len(up))]
	w.clients.requestCount++
	request := &Ask{
		Router: router.id, Txn: fmt.Sprintf("%016x", w.clients.requestCount), Rule: client.rule, Object: w.catalogue.name(client.object),
		Group: w.catalogue.group(client.object), Part: client.part, SizeKB: w.catalogue.size(client.object, client.part), Limit: client.timeLimit,
		Again: client.attempts > 1, Write: w.classes[client.rule].Write, client: client, deadline: w.now + client.timeLimit,
	}
	if request.Write {
		request.SizeKB = 1
	}
	delay := w.jitter(fleet.ClientMS * 500)
	w.schedule(delay, func() {
		if !router.up { // refused: it never ran
			w.schedule(delay, func() { w.retryOrFail(client, 0, true) })
			return
		}
		request.open = true
		router.openRequests[request.Txn] = request
		router.arrivalOrder = append(router.arrivalOrder, request.Txn)
		if len(router.arrivalOrder) > 64 && len(router.arrivalOrder) > 2*len(router.openRequests) {
			router.compactArrivalOrder()
		}
		w.Result.Taken++
		w.record(Entry{
			Kind: eventlog.KindTaken, Router: router.id, Request: request.Txn, Class: w.classes[request.Rule].Name, Object: request.Object, Group: request.Group,
			Deadline: request.deadline,
		})
		// What the router is told is how long the client waits from when it sent.
		request.Limit = request.deadline - w.now
		w.driver.Ask(request)
	})
	w.schedule(client.timeLimit+2*delay+w.Slack, func() { w.clientTimedOut(router, request) })
}

// clientTimedOut is a client whose time is over without an answer.
func (w *World) clientTimedOut(router *router, request *Ask) {
	if !request.open {
		return
	}
	request.open = false
	delete(router.openRequests, request.Txn)
	w.record(Entry{Kind: eventlog.KindLeft, Router: router.id, Request: request.Txn})
	w.Result.Lost++
	w.driver.Leave(router.id, request.Txn)
	w.retryOrFail(request.client, 0, request.client.rule != scenario.ClassAccept)
}

// Refused takes that a router's machine refused the connection: it has taken
// nothing. Only sockets can tell; here a router that is up takes all.
func (w *World) Refused(routerID int, requestID string) {
	router := w.routers[routerID]
	request := router.openRequests[requestID]
	if request == nil {
		return
	}
	request.open = false
	delete(router.openRequests, requestID)
	w.record(Entry{Kind: eventlog.KindRefused, Router: routerID, Request: requestID})
	w.retryOrFail(request.client, 0, true)
}

// Final takes a router's answer to a txn: "completed", "rejected" or "aborted".
// Issued is that of the copy.
func (w *World) Final(routerID int, requestID, outcome string, issuedAt, retryAfter int64) {
	router := w.routers[routerID]
	request := router.openRequests[requestID]
	entry := Entry{Kind: eventlog.KindAnswered, Router: routerID, Request: requestID, Outcome: outcome, Issued: issuedAt}
	if request != nil {
		entry.Class, entry.Object, entry.Group, entry.Deadline = w.classes[request.Rule].Name, request.Object, request.Group, request.deadline
	}
	w.record(entry)
	if request == nil {
		return
	}
	request.open = false
	delete(router.openRequests, requestID)
	client := request.client
	w.schedule(w.jitter(w.scenario.Fleet.ClientMS*500), func() {
		if w.now > request.deadline+50*millisecond+w.Slack {
			outcome = "late"
		}
		if outcome == "completed" {
			w.openRequests--
			w.Result.countCompleted(w, client, issuedAt)
			return
		}
		w.retryOrFail(client, retryAfter, outcome == "rejected" || w.classes[client.rule].Effect == policy.EffectIdempotent)
	})
}

// retryOrFail is a client that got no answer it can use. It tries again where that is
// harmless, after a wait.
func (w *World) retryOrFail(client *client, retryAfter int64, retrySafe bool) {
	load := &w.scenario.Load
	if !retrySafe || client.attempts > load.Retries {
		w.openRequests--
		w.Result.countFailed(w, client, retrySafe)
		return
	}
	wait := int64(0)
	if load.RetryWaitMS > 0 {
		wait = w.jitter(load.RetryWaitMS * 1000 * float64(int64(1)<<min(client.attempts-1, 6)))
	}
	if client.honoursRetryAfter {
		wait = max(wait, retryAfter)
	}
	w.schedule(wait, func() { w.sendRequest(client) })
}
