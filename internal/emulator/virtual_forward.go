package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// withdraw ends a txn that another site's router has given up.
func (v *virtualRun) withdraw(r *virtualRouter, request *virtualRequest) {
	request.finished = true
	request.engine.ClientGone(v.now(), request.request)
	v.detach(request)
	r.gateway.FinishInbound(v.now(), routerName(request.forwardedBy.id), request.ask.Txn, false)
}

var peerEffects = map[policy.Effect]peerpolicy.Effect{
	policy.EffectIdempotent:     peerpolicy.EffectIdempotent,
	policy.EffectIdempotencyKey: peerpolicy.EffectIdempotencyKey,
	policy.EffectUnsafe:         peerpolicy.EffectUnsafe,
}

// forward hands over a txn that the module has refused; false: it stays.
func (v *virtualRun) forward(request *virtualRequest, command engine.Command) bool {
	r, ask, now := request.router, request.ask, v.now()
	class := v.world.RuleOf(ask.Rule)
	remaining := ask.Deadline() - v.world.Now()
	peer, reason := r.gateway.Forward(now, &peerpolicy.Request{RequestID: ask.Txn, Effect: peerEffects[class.Effect], NeverRan: !command.MaybeExecuted, Deadline: now + remaining})
	if reason != peerpolicy.ReasonOK {
		return false
	}
	r.gateway.MarkSent(ask.Txn)
	v.detach(request)
	r.forwarded[ask.Txn] = request
	request.finished = true
	v.world.Result.Crossed++
	var far *virtualRouter
	for _, router := range v.routers {
		if routerName(router.id) == peer.Name {
			far = router
		}
	}
	budget := r.gateway.Budget(now, ask.Txn) // counted there from when it comes
	v.acrossSites(func() { v.receiveForwarded(far, request, budget) })
	return true
}

// receiveForwarded is a txn at the other site.
func (v *virtualRun) receiveForwarded(far *virtualRouter, original *virtualRequest, remaining int64) {
	home, ask := original.router, original.ask
	if far.gateway == nil || far.engine == nil {
		return // no process: the gate hears of it by silence
	}
	if far.gateway.Admit(v.now(), routerName(home.id), ask.Txn, []string{routerName(home.id)}, 0) != peerpolicy.ReasonOK || far.requests[ask.Txn] != nil {
		v.sendAnswerHome(far, home, original, peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}, 0)
		return
	}
	forwardedAsk := *ask
	forwardedAsk.Router = far.id
	v.Note(&eventlog.Entry{Kind: eventlog.KindForwarded, At: v.world.Now(), Router: far.id, Request: ask.Txn, Attempt: home.id})
	request := &virtualRequest{router: far, engine: far.engine, ask: &forwardedAsk, forwardedBy: home}
	opened, err := far.engine.Open(v.now(), policy.Event{
		Request: ask.Txn, Class: v.world.RuleOf(ask.Rule).Name, Object: ask.Object, Group: ask.Group,
		Part: ask.Part, Remaining: remaining, ClientRetry: ask.Again, Write: ask.Write,
	}, func() {
		if !request.queued && !request.finished {
			request.queued = true
			v.readyRequests = append(v.readyRequests, request)
		}
	})
	if err != nil {
		far.gateway.FinishInbound(v.now(), routerName(home.id), ask.Txn, false)
		v.sendAnswerHome(far, home, original, peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}, 0)
		return
	}
	request.request = opened
	far.requests[ask.Txn] = request
}

// answerForwarded is the far side's end of a txn.
func (v *virtualRun) answerForwarded(request *virtualRequest, outcome string, issued int64, command engine.Command) {
	request.finished = true
	v.detach(request)
	far := request.router
	far.gateway.FinishInbound(v.now(), routerName(request.forwardedBy.id), request.ask.Txn, outcome == "completed")
	answer := peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeAborted}
	sizeKB := 0.0
	switch outcome {
	case "completed":
		answer = peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeCompleted, IssuedMillis: issued}
		sizeKB = request.ask.SizeKB
		if request.ask.Write {
			answer.IssuedMillis = 0
		}
	case "rejected":
		answer = peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: !command.MaybeExecuted}
	}
	v.sendAnswerHome(far, request.forwardedBy, &virtualRequest{ask: request.ask}, answer, sizeKB)
}

// sendAnswerHome takes an answer home.
func (v *virtualRun) sendAnswerHome(far, home *virtualRouter, request *virtualRequest, answer peerpolicy.PeerAnswer, sizeKB float64) {
	transferMicros := int64(sizeKB / (siteFlows * v.scenario.Fleet.FlowKBPerS) * 1e6)
	v.world.After(transferMicros, func() {
		v.acrossSites(func() {
			if home.gateway == nil {
				return
			}
			home.recordIssued(request.ask.Txn, answer.IssuedMillis)
			// Issues are the world's microseconds here; so are purges.
			answer.LatestPurgeMillis = v.latestPurge(home, request.ask)
			home.gateway.HandleAnswer(v.now(), routerName(far.id), request.ask.Txn, answer)
			v.runGatewayActions(home)
		})
	})
}

// recordIssued keeps the issue for the answer that the gate may give.
func (r *virtualRouter) recordIssued(requestID string, issued int64) {
	if request := r.forwarded[requestID]; request != nil {
		request.issued = issued
	}
}

// latestPurge is the youngest purge that a router was told of and that binds a txn.
func (v *virtualRun) latestPurge(r *virtualRouter, ask *simulation.Ask) (at int64) {
	for _, purge := range v.seenPurges[r.id] {
		if purge.Object != "" && purge.Object == ask.Object || purge.Object == "" && purge.Group == ask.Group {
			at = max(at, purge.At)
		}
	}
	return at
}

// runGatewayActions carries out what a gate has decided.
func (v *virtualRun) runGatewayActions(r *virtualRouter) {
	for _, action := range r.gateway.Actions() {
		switch action.Kind {
		case peerpolicy.ActionAnswer:
			request := r.forwarded[action.RequestID]
			if request == nil {
				continue
			}
			delete(r.forwarded, action.RequestID)
			outcome := map[peerpolicy.Outcome]string{peerpolicy.OutcomeCompleted: "completed", peerpolicy.OutcomeRejected: "rejected", peerpolicy.OutcomeAborted: "aborted"}[action.Outcome]
			if outcome == "completed" {
				v.world.Result.CrossedDone++
			}
			v.world.Final(r.id, action.RequestID, outcome, request.issued, 500_000)
		case peerpolicy.ActionWithdraw:
			for _, peer := range v.peers(r) {
				if routerName(peer.id) != action.Peer {
					continue
				}
				v.acrossSites(func() {
					if request := peer.requests[action.RequestID]; request != nil && request.forwardedBy == r && peer.gateway != nil {
						v.withdraw(peer, request)
					}
				})
			}
		}
	}
}
