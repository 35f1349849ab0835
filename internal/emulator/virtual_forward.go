package emulator

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/gateway"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/simulation"
)

// withdraw ends a forwarded request that the router of the other site no longer waits for.
func (v *virtualRun) withdraw(router *virtualRouter, request *virtualRequest) {
	request.finished = true
	request.engine.ClientDisconnected(v.now(), request.engineRequest)
	v.detach(request)
	router.gateway.FinishInbound(v.now(), routerName(request.forwardedBy.id), request.ID, false)
}

// forwardedRetryAfterMicros is the Retry-After of the answer to a forwarded request.
const forwardedRetryAfterMicros = 500_000

// forward forwards a request that this site has rejected to another site. It returns false if no
// site accepts the request.
func (v *virtualRun) forward(request *virtualRequest, maybeExecuted bool) bool {
	router := request.router
	now := v.now()
	class := v.simulation.Class(request.Class)
	remaining := request.Deadline() - v.simulation.Now()
	peer, reason := router.gateway.Forward(now, &peerpolicy.Request{
		RequestID: request.ID,
		Effect:    gateway.PeerEffect(class.Effect),
		NeverRan:  !maybeExecuted,
		Deadline:  now + remaining,
	})
	if reason != peerpolicy.ReasonOK {
		return false
	}
	router.gateway.MarkSent(request.ID)
	v.detach(request)
	router.forwarded[request.ID] = request
	request.finished = true
	v.simulation.Result.Forwarded++
	remote := v.routerByName(peer.Name)
	budget := router.gateway.Budget(now, request.ID) // the remote site counts it from the request's arrival
	v.deliverAcrossSites(func() { v.receiveForwarded(remote, request, budget) })
	return true
}

// routerByName returns the router with a name that routerName returned; nil: there is none.
func (v *virtualRun) routerByName(name string) (found *virtualRouter) {
	for _, router := range v.routers {
		if routerName(router.id) == name {
			found = router
		}
	}
	return found
}

// receiveForwarded opens a forwarded request at the remote router, or rejects it.
func (v *virtualRun) receiveForwarded(remote *virtualRouter, original *virtualRequest, remaining int64) {
	home := original.router
	rejected := peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}
	if remote.gateway == nil || remote.engine == nil {
		return // the router is down: the home gateway detects that by the missing heartbeats
	}
	homeName := routerName(home.id)
	reason := remote.gateway.Admit(v.now(), homeName, original.ID, []string{homeName}, 0)
	if reason != peerpolicy.ReasonOK || remote.requests[original.ID] != nil {
		v.returnAnswer(remote, home, original.Request, rejected, 0)
		return
	}
	forwarded := *original.Request
	forwarded.Router = remote.id
	v.Record(&eventlog.Entry{
		Kind: eventlog.KindForwarded, At: v.simulation.Now(), Router: remote.id, Request: original.ID, Attempt: home.id,
	})
	request := &virtualRequest{Request: &forwarded, router: remote, engine: remote.engine, forwardedBy: home}
	if err := v.open(request, remaining); err != nil {
		remote.gateway.FinishInbound(v.now(), homeName, original.ID, false)
		v.returnAnswer(remote, home, original.Request, rejected, 0)
	}
}

// answerForwarded answers a request that a router of another site has forwarded.
func (v *virtualRun) answerForwarded(request *virtualRequest, answer simulation.Answer, maybeExecuted bool) {
	request.finished = true
	v.detach(request)
	remote := request.router
	completed := answer.Outcome == simulation.AnswerCompleted
	remote.gateway.FinishInbound(v.now(), routerName(request.forwardedBy.id), request.ID, completed)
	peerAnswer := peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeAborted}
	sizeKB := 0.0
	switch answer.Outcome {
	case simulation.AnswerCompleted:
		// The gateway only compares the issue time with the times of purges: see returnAnswer.
		peerAnswer = peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeCompleted, IssuedMillis: answer.IssuedAt}
		sizeKB = request.SizeKB
		if request.Write {
			peerAnswer.IssuedMillis = 0
		}
	case simulation.AnswerRejected:
		peerAnswer = peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: !maybeExecuted}
	}
	v.returnAnswer(remote, request.forwardedBy, request.Request, peerAnswer, sizeKB)
}

// returnAnswer sends an answer to the site that forwarded the request. The transfer time of the
// body is added to the latency between the sites.
func (v *virtualRun) returnAnswer(
	remote, home *virtualRouter, request *simulation.Request, answer peerpolicy.PeerAnswer, sizeKB float64,
) {
	transferMicros := int64(sizeKB / (siteRateMultiple * v.scenario.Fleet.FlowKBPerS) * microsPerSecond)
	v.simulation.After(transferMicros, func() {
		v.deliverAcrossSites(func() {
			if home.gateway == nil {
				return
			}
			home.recordIssued(request.ID, answer.IssuedMillis)
			// On the virtual clock IssuedMillis and LatestPurgeMillis both hold the simulation's
			// microseconds: the gateway only compares them with each other.
			answer.LatestPurgeMillis = v.latestPurge(home, request)
			home.gateway.HandleAnswer(v.now(), routerName(remote.id), request.ID, answer)
			v.runGatewayActions(home)
		})
	})
}

// recordIssued records the issue time of the copy in a forwarded request's answer, for the answer
// to the client.
func (r *virtualRouter) recordIssued(requestID string, issued int64) {
	if request := r.forwarded[requestID]; request != nil {
		request.issued = issued
	}
}

// latestPurge is the time of the latest purge of a request's object or group that a router was
// notified of; 0: there was none.
func (v *virtualRun) latestPurge(router *virtualRouter, request *simulation.Request) (at int64) {
	for _, purge := range v.seenPurges[router.id] {
		if purge.Object != "" && purge.Object == request.Object || purge.Object == "" && purge.Group == request.Group {
			at = max(at, purge.At)
		}
	}
	return at
}

// forwardedOutcomes maps the outcome of a gateway's answer to that of the answer to the client.
var forwardedOutcomes = map[peerpolicy.Outcome]simulation.AnswerOutcome{
	peerpolicy.OutcomeCompleted: simulation.AnswerCompleted,
	peerpolicy.OutcomeRejected:  simulation.AnswerRejected,
	peerpolicy.OutcomeAborted:   simulation.AnswerAborted,
}

// runGatewayActions executes the actions that a gateway has decided on.
func (v *virtualRun) runGatewayActions(router *virtualRouter) {
	for _, action := range router.gateway.Actions() {
		switch action.Kind {
		case peerpolicy.ActionAnswer:
			v.respondForwarded(router, action.RequestID, forwardedOutcomes[action.Outcome])
		case peerpolicy.ActionCancel:
			v.withdrawAtPeer(router, action.Peer, action.RequestID)
		}
	}
}

// respondForwarded answers the client of a forwarded request, unless it has left.
func (v *virtualRun) respondForwarded(router *virtualRouter, requestID string, outcome simulation.AnswerOutcome) {
	request := router.forwarded[requestID]
	if request == nil {
		return
	}
	delete(router.forwarded, requestID)
	if outcome == simulation.AnswerCompleted {
		v.simulation.Result.ForwardedCompleted++
	}
	v.simulation.Answered(router.id, requestID, simulation.Answer{
		Outcome: outcome, IssuedAt: request.issued, RetryAfter: forwardedRetryAfterMicros,
	})
}

// withdrawAtPeer notifies a peer that this router no longer waits for a forwarded request.
func (v *virtualRun) withdrawAtPeer(router *virtualRouter, peerName, requestID string) {
	for _, peer := range v.peers(router) {
		if routerName(peer.id) != peerName {
			continue
		}
		v.deliverAcrossSites(func() {
			request := peer.requests[requestID]
			if request != nil && request.forwardedBy == router && peer.gateway != nil {
				v.withdraw(peer, request)
			}
		})
	}
}
