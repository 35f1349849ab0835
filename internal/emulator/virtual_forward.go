package emulator

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/gateway"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/simulation"
)

// withdraw ends a request that another site's router no longer waits for.
func (v *virtualRun) withdraw(router *virtualRouter, request *virtualRequest) {
	request.finished = true
	request.engine.ClientGone(v.now(), request.engineRequest)
	v.detach(request)
	router.gateway.FinishInbound(v.now(), routerName(request.forwardedBy.id), request.ID, false)
}

// forwardedRetryAfterMicros is the Retry-After of an answer that a gateway gives.
const forwardedRetryAfterMicros = 500_000

// forward forwards a request that this site has rejected to another one. False: no site takes it.
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
	far := v.routerByName(peer.Name)
	budget := router.gateway.Budget(now, request.ID) // the other site counts it from when the request arrives
	v.acrossSites(func() { v.receiveForwarded(far, request, budget) })
	return true
}

// routerByName is the reverse of routerName.
func (v *virtualRun) routerByName(name string) (found *virtualRouter) {
	for _, router := range v.routers {
		if routerName(router.id) == name {
			found = router
		}
	}
	return found
}

// receiveForwarded opens a forwarded request at the other site.
func (v *virtualRun) receiveForwarded(far *virtualRouter, original *virtualRequest, remaining int64) {
	home := original.router
	rejected := peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}
	if far.gateway == nil || far.engine == nil {
		return // it is down: the home gateway learns that by its silence
	}
	homeName := routerName(home.id)
	reason := far.gateway.Admit(v.now(), homeName, original.ID, []string{homeName}, 0)
	if reason != peerpolicy.ReasonOK || far.requests[original.ID] != nil {
		v.sendAnswerHome(far, home, original.Request, rejected, 0)
		return
	}
	forwarded := *original.Request
	forwarded.Router = far.id
	v.Record(&eventlog.Entry{
		Kind: eventlog.KindForwarded, At: v.simulation.Now(), Router: far.id, Request: original.ID, Attempt: home.id,
	})
	request := &virtualRequest{Request: &forwarded, router: far, engine: far.engine, forwardedBy: home}
	if err := v.open(request, remaining); err != nil {
		far.gateway.FinishInbound(v.now(), homeName, original.ID, false)
		v.sendAnswerHome(far, home, original.Request, rejected, 0)
	}
}

// answerForwarded answers a request that another site forwarded here.
func (v *virtualRun) answerForwarded(request *virtualRequest, answer simulation.Answer, maybeExecuted bool) {
	request.finished = true
	v.detach(request)
	far := request.router
	completed := answer.Outcome == simulation.AnswerCompleted
	far.gateway.FinishInbound(v.now(), routerName(request.forwardedBy.id), request.ID, completed)
	peerAnswer := peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeAborted}
	sizeKB := 0.0
	switch answer.Outcome {
	case simulation.AnswerCompleted:
		// The gateway only compares the time of issue with purges': see sendAnswerHome.
		peerAnswer = peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeCompleted, IssuedMillis: answer.IssuedAt}
		sizeKB = request.SizeKB
		if request.Write {
			peerAnswer.IssuedMillis = 0
		}
	case simulation.AnswerRejected:
		peerAnswer = peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: !maybeExecuted}
	}
	v.sendAnswerHome(far, request.forwardedBy, request.Request, peerAnswer, sizeKB)
}

// sendAnswerHome takes an answer to the site that forwarded the request, after the time that
// its bytes take.
func (v *virtualRun) sendAnswerHome(
	far, home *virtualRouter, request *simulation.Request, answer peerpolicy.PeerAnswer, sizeKB float64,
) {
	transferMicros := int64(sizeKB / (siteFlows * v.scenario.Fleet.FlowKBPerS) * microsPerSecond)
	v.simulation.After(transferMicros, func() {
		v.acrossSites(func() {
			if home.gateway == nil {
				return
			}
			home.recordIssued(request.ID, answer.IssuedMillis)
			// On the virtual clock IssuedMillis and LatestPurgeMillis both hold the simulation's
			// microseconds: the gateway only compares them with each other.
			answer.LatestPurgeMillis = v.latestPurge(home, request)
			home.gateway.HandleAnswer(v.now(), routerName(far.id), request.ID, answer)
			v.runGatewayActions(home)
		})
	})
}

// recordIssued keeps when a copy was issued, for the answer that the gateway may give.
func (r *virtualRouter) recordIssued(requestID string, issued int64) {
	if request := r.forwarded[requestID]; request != nil {
		request.issued = issued
	}
}

// latestPurge is the latest purge of a request's object that a router has heard of.
func (v *virtualRun) latestPurge(router *virtualRouter, request *simulation.Request) (at int64) {
	for _, purge := range v.seenPurges[router.id] {
		if purge.Object != "" && purge.Object == request.Object || purge.Object == "" && purge.Group == request.Group {
			at = max(at, purge.At)
		}
	}
	return at
}

// forwardedOutcomes is the client's outcome for an answer of the gateway.
var forwardedOutcomes = map[peerpolicy.Outcome]simulation.AnswerOutcome{
	peerpolicy.OutcomeCompleted: simulation.AnswerCompleted,
	peerpolicy.OutcomeRejected:  simulation.AnswerRejected,
	peerpolicy.OutcomeAborted:   simulation.AnswerFailed,
}

// runGatewayActions carries out what a gateway has decided.
func (v *virtualRun) runGatewayActions(router *virtualRouter) {
	for _, action := range router.gateway.Actions() {
		switch action.Kind {
		case peerpolicy.ActionAnswer:
			v.respondForwarded(router, action.RequestID, forwardedOutcomes[action.Outcome])
		case peerpolicy.ActionWithdraw:
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

// withdrawAtPeer tells a peer that a forwarded request is no longer waited for.
func (v *virtualRun) withdrawAtPeer(router *virtualRouter, peerName, requestID string) {
	for _, peer := range v.peers(router) {
		if routerName(peer.id) != peerName {
			continue
		}
		v.acrossSites(func() {
			request := peer.requests[requestID]
			if request != nil && request.forwardedBy == router && peer.gateway != nil {
				v.withdraw(peer, request)
			}
		})
	}
}
