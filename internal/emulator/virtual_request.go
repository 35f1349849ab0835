package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
	"quilldoor/internal/stall"
)

// virtualRequest is a request of a router on the virtual clock.
type virtualRequest struct {
	*simulation.Request

	router        *virtualRouter
	engine        *engine.Engine // the engine that opened it; the router may have been restarted since
	engineRequest *engine.Request
	queued        bool           // it is in virtualRun.readyRequests
	finished      bool           // it was answered, forwarded or withdrawn, its client has left, or its router was killed
	issued        int64          // issue time of the copy in the answer of another site
	forwardedBy   *virtualRouter // the router of another site that forwarded it; nil: a client sent it
}

// virtualResponse is a response on the virtual clock. It has no body, only the issue time of the
// copy.
type virtualResponse struct{ issued int64 }

// Release does nothing, as there is no buffer to release.
func (virtualResponse) Release() {}

// runCommands executes the engine's commands for a request.
func (v *virtualRun) runCommands(request *virtualRequest, commands []engine.Command) {
	for _, command := range commands {
		switch command.Kind {
		case engine.CommandSend:
			v.startAttempt(request, command.Attempt)
		case engine.CommandDrop:
			v.simulation.Cancel(request.router.id, request.ID, command.Attempt.Number)
		case engine.CommandRespond:
			issued := command.Response.(virtualResponse).issued
			if v.options.observer != nil && command.Attempt != nil && !request.finished {
				v.options.observer.responded(request.router.id, request.Request, command.Attempt, issued)
			}
			v.finish(request, answerFromCommand(simulation.AnswerCompleted, issued, &command), command.MaybeExecuted)
		case engine.CommandReject:
			v.finish(request, answerFromCommand(simulation.AnswerRejected, 0, &command), command.MaybeExecuted)
		case engine.CommandFail:
			v.finish(request, answerFromCommand(simulation.AnswerAborted, 0, &command), command.MaybeExecuted)
		}
	}
}

// answerFromCommand returns the answer to the client for an engine's final command.
func answerFromCommand(outcome simulation.AnswerOutcome, issued int64, command *engine.Command) simulation.Answer {
	return simulation.Answer{Outcome: outcome, IssuedAt: issued, RetryAfter: command.RetryAfter}
}

// startAttempt passes an attempt to the simulation.
func (v *virtualRun) startAttempt(request *virtualRequest, attempt *engine.Attempt) {
	if request.finished || !attempt.Begin() {
		return
	}
	if v.options.observer != nil {
		v.options.observer.attemptSent(request.router.id, v.simulation.Class(request.Class).Name, attempt)
	}
	sent := &simulation.Attempt{
		Router: request.router.id, RequestID: request.ID, Number: attempt.Number, Server: attempt.Endpoint.ID,
		Source: attempt.Source, CachePriority: attempt.CachePriority, FillMode: attempt.FillMode, MaxAge: attempt.MaxAge,
		Class: request.Class, Object: request.Object, Part: request.Part, Group: request.Group,
		SizeKB: request.SizeKB, Write: request.Write, DriverData: attempt,
	}
	if sent.Source == "" && attempt.Endpoint.Kind == scenario.EndpointOrigin {
		sent.Source = attempt.Endpoint.ID
	}
	v.simulation.SendAttempt(sent)
}

// finish handles the engine's final answer to a request. The answer to a request that another site
// forwarded is returned to that site. A rejected request of a client is forwarded if another site
// accepts it. All other answers are sent to the client.
func (v *virtualRun) finish(request *virtualRequest, answer simulation.Answer, maybeExecuted bool) {
	switch {
	case request.finished:
	case request.forwardedBy != nil:
		v.answerForwarded(request, answer, maybeExecuted)
	case request.router.gateway != nil:
		rejected := answer.Outcome == simulation.AnswerRejected
		request.router.gateway.ObserveLocal(v.now(), rejected)
		if !rejected || !v.forward(request, maybeExecuted) {
			v.respond(request, answer)
		}
	default:
		v.respond(request, answer)
	}
}

// respond answers the client.
func (v *virtualRun) respond(request *virtualRequest, answer simulation.Answer) {
	if request.finished {
		return
	}
	request.finished = true
	count := 1
	if v.options.AnswerCount != nil { // a faulty router answers never or twice
		count = v.options.AnswerCount(request.ID)
	}
	for range count {
		v.simulation.Answered(request.router.id, request.ID, answer)
	}
	v.detach(request)
}

// detach removes a request from its router and detaches it from the engine, as the downstream
// server does once it has answered.
func (v *virtualRun) detach(request *virtualRequest) {
	delete(request.router.requests, request.ID)
	for _, command := range request.engineRequest.Detach() {
		if command.Kind == engine.CommandDrop {
			v.simulation.Cancel(request.router.id, request.ID, command.Attempt.Number)
		}
	}
}

// RequestArrived passes a client's request to its router.
func (v *virtualRun) RequestArrived(request *simulation.Request) {
	v.routers[request.Router].whenRunning(func() { v.openRequest(request) })
}

// openRequest opens a client's request with its remaining time, or rejects it.
func (v *virtualRun) openRequest(arrived *simulation.Request) {
	router := v.routers[arrived.Router]
	request := &virtualRequest{Request: arrived, router: router, engine: router.engine}
	remaining := request.Remaining
	// A request that is read soon after a suspension may have been in the socket buffer for all of
	// it.
	if router.resumedAt > 0 && v.now()-router.resumedAt < stall.BufferDrainMicros {
		remaining -= v.now() - router.suspendedAt
	}
	if remaining <= 0 || v.rejectedByFault(request) {
		v.simulation.Answered(router.id, request.ID, simulation.Answer{Outcome: simulation.AnswerRejected})
		return
	}
	if err := v.open(request, remaining); err != nil {
		v.simulation.Answered(router.id, request.ID, simulation.Answer{Outcome: simulation.AnswerRejected})
		request.finished = true
		request.queued = true // prevents the engine's wake function from queueing a request that was not opened
	}
}

// rejectedByFault reports whether Options.RejectRequest makes the router reject the request.
func (v *virtualRun) rejectedByFault(request *virtualRequest) bool {
	rejects := v.options.RejectRequest
	return rejects != nil && rejects(request.router.id, v.simulation.Class(request.Class).Name)
}

// open opens a request in its router's engine. The engine's wake function adds the request to
// readyRequests when the engine has commands for it.
func (v *virtualRun) open(request *virtualRequest, remaining int64) error {
	opened, err := request.engine.Open(v.now(), policy.Event{
		Request: request.ID, Class: v.simulation.Class(request.Class).Name, Object: request.Object, Group: request.Group,
		Part: request.Part, Remaining: remaining, ClientRetry: request.Retry, Write: request.Write,
	}, func() {
		if !request.queued && !request.finished {
			request.queued = true
			v.readyRequests = append(v.readyRequests, request)
		}
	})
	if err != nil {
		return err
	}
	request.engineRequest = opened
	request.router.requests[request.ID] = request
	return nil
}

// ClientDisconnected notifies a router that the client of a request has left.
func (v *virtualRun) ClientDisconnected(routerID int, requestID string) {
	v.routers[routerID].whenRunning(func() { v.clientLeft(routerID, requestID) })
}

// clientLeft ends a request at the gateway if the router has forwarded it, otherwise in the engine.
func (v *virtualRun) clientLeft(routerID int, requestID string) {
	router := v.routers[routerID]
	if router.forwarded[requestID] != nil {
		delete(router.forwarded, requestID)
		router.gateway.ClientDisconnected(requestID)
		v.runGatewayActions(router)
		return
	}
	if request := router.requests[requestID]; request != nil {
		request.finished = true
		request.engine.ClientDisconnected(v.now(), request.engineRequest)
		v.detach(request)
	}
}

// AttemptEnded notifies a router of the end of an attempt.
func (v *virtualRun) AttemptEnded(routerID int, attempt *simulation.Attempt, end simulation.AttemptResult) {
	v.routers[routerID].whenRunning(func() { v.attemptEnded(routerID, attempt, end) })
}

// attemptEnded passes the result of an attempt to the engine, after a delay if
// Options.ExtraTimeShare makes the router's attempts longer.
func (v *virtualRun) attemptEnded(routerID int, ended *simulation.Attempt, end simulation.AttemptResult) {
	router := v.routers[routerID]
	if router.engine == nil {
		return
	}
	result := engine.Result{Outcome: end.Outcome, Reason: end.Reason, OriginWait: end.Waited, Load: end.Load}
	if end.Outcome == policy.OutcomeDone {
		result.Response = virtualResponse{end.Issued}
		if end.Issued > 0 {
			result.IssuedAt = end.Issued + epochMicros
		}
	}
	current := router.engine
	attempt := ended.DriverData.(*engine.Attempt)
	if v.options.ExtraTimeShare != nil {
		if delay := int64(v.options.ExtraTimeShare(routerID) * float64(v.now()-attempt.DecidedAt)); delay > 0 {
			v.simulation.After(delay, func() {
				if router.engine == current {
					current.AttemptEnded(v.now(), attempt, result)
				}
			})
			return
		}
	}
	current.AttemptEnded(v.now(), attempt, result)
}
