package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
	"quilldoor/internal/stall"
)

// virtualRequest is a request that a router of the virtual clock works on.
type virtualRequest struct {
	router      *virtualRouter
	engine      *engine.Engine // the router may have been started again since
	request     *engine.Request
	ask         *simulation.Ask
	queued      bool
	finished    bool
	issued      int64
	forwardedBy *virtualRouter // that handed it over; nil: it came from a client
}

// virtualResponse is a response of the virtual clock: it has no bytes, only the time it was issued at.
type virtualResponse struct{ issued int64 }

// Release does nothing: there is no buffer to give back.
func (virtualResponse) Release() {}

func (v *virtualRun) runCommands(request *virtualRequest, commands []engine.Command) {
	for _, command := range commands {
		switch command.Kind {
		case engine.CommandSend:
			v.startAttempt(request, command.Attempt)
		case engine.CommandDrop:
			v.world.Cancel(request.router.id, request.ask.Txn, command.Attempt.Number)
		case engine.CommandRespond:
			if v.options.observer != nil && command.Attempt != nil && !request.finished {
				v.options.observer.responded(request.router.id, request.ask, command.Attempt, command.Response.(virtualResponse).issued)
			}
			v.finish(request, "completed", command.Response.(virtualResponse).issued, command)
		case engine.CommandReject:
			v.finish(request, "rejected", 0, command)
		case engine.CommandFail:
			v.finish(request, "aborted", 0, command)
		}
	}
}

func (v *virtualRun) startAttempt(request *virtualRequest, attempt *engine.Attempt) {
	if request.finished || !attempt.Begin() {
		return
	}
	ask := request.ask
	if v.options.observer != nil {
		v.options.observer.attemptSent(request.router.id, v.world.RuleOf(ask.Rule).Name, attempt)
	}
	hop := &simulation.Hop{
		Router: request.router.id, Txn: ask.Txn, N: attempt.Number, Server: attempt.Endpoint.ID, Source: attempt.Source, Rank: attempt.CachePriority,
		FillMode: attempt.FillMode, Within: attempt.MaxAge, Rule: ask.Rule, Object: ask.Object, Part: ask.Part, Group: ask.Group, SizeKB: ask.SizeKB,
		Write: ask.Write, Tag: attempt,
	}
	if hop.Source == "" && attempt.Endpoint.Kind == "ledger" {
		hop.Source = attempt.Endpoint.ID
	}
	v.world.Hop(hop)
}

// finish takes the module's final order: it is the answer, unless another site has
// handed the txn over, or takes it.
func (v *virtualRun) finish(request *virtualRequest, outcome string, issued int64, command engine.Command) {
	switch {
	case request.finished:
	case request.forwardedBy != nil:
		v.answerForwarded(request, outcome, issued, command)
	case request.router.gateway != nil:
		request.router.gateway.ObserveLocal(v.now(), outcome == "rejected")
		if outcome != "rejected" || !v.forward(request, command) {
			v.respond(request, outcome, issued, command.RetryAfter)
		}
	default:
		v.respond(request, outcome, issued, command.RetryAfter)
	}
}

func (v *virtualRun) respond(request *virtualRequest, outcome string, issued, retryAfter int64) {
	if request.finished {
		return
	}
	request.finished = true
	times := 1
	if v.options.Answer != nil {
		times = v.options.Answer(request.ask.Txn, 1)
	}
	for range times {
		v.world.Final(request.router.id, request.ask.Txn, outcome, issued, retryAfter)
	}
	v.detach(request)
}

// detach ends the reading of a mailbox, as front does.
func (v *virtualRun) detach(request *virtualRequest) {
	delete(request.router.requests, request.ask.Txn)
	for _, command := range request.request.Detach() {
		if command.Kind == engine.CommandDrop {
			v.world.Cancel(request.router.id, request.ask.Txn, command.Attempt.Number)
		}
	}
}

// Ask opens a txn.
func (v *virtualRun) Ask(a *simulation.Ask) {
	v.routers[a.Router].whenRunning(func() { v.openRequest(a) })
}

func (v *virtualRun) openRequest(ask *simulation.Ask) {
	r := v.routers[ask.Router]
	request := &virtualRequest{router: r, engine: r.engine, ask: ask}
	// What is read as it wakes may have waited all the time, as front has it.
	remaining := ask.Limit
	if r.resumedAt > 0 && v.now()-r.resumedAt < stall.BufferDrainMicros {
		remaining -= v.now() - r.stoppedAt
	}
	if remaining <= 0 || v.options.Refuse != nil && v.options.Refuse(r.id, v.world.RuleOf(ask.Rule).Name) {
		v.world.Final(r.id, ask.Txn, "rejected", 0, 0)
		return
	}
	opened, err := r.engine.Open(v.now(), policy.Event{
		Request: ask.Txn, Class: v.world.RuleOf(ask.Rule).Name, Object: ask.Object, Group: ask.Group,
		Part: ask.Part, Remaining: remaining, ClientRetry: ask.Again, Write: ask.Write,
	}, func() {
		if !request.queued && !request.finished {
			request.queued = true
			v.readyRequests = append(v.readyRequests, request)
		}
	})
	if err != nil {
		v.world.Final(r.id, ask.Txn, "rejected", 0, 0)
		request.finished, request.queued = true, true
		return
	}
	request.request = opened
	r.requests[ask.Txn] = request
}

// Leave says that a client has gone.
func (v *virtualRun) Leave(router int, requestID string) {
	v.routers[router].whenRunning(func() { v.clientLeft(router, requestID) })
}

func (v *virtualRun) clientLeft(router int, requestID string) {
	if r := v.routers[router]; r.forwarded[requestID] != nil {
		delete(r.forwarded, requestID)
		r.gateway.ClientGone(requestID)
		v.runGatewayActions(r)
		return
	}
	if request := v.routers[router].requests[requestID]; request != nil {
		request.finished = true
		request.engine.ClientGone(v.now(), request.request)
		v.detach(request)
	}
}

// End ends a hop.
func (v *virtualRun) End(router int, h *simulation.Hop, e simulation.End) {
	v.routers[router].whenRunning(func() { v.attemptEnded(router, h, e) })
}

func (v *virtualRun) attemptEnded(router int, hop *simulation.Hop, end simulation.End) {
	r := v.routers[router]
	result := engine.Result{Outcome: end.Outcome, Reason: end.Reason, OriginWait: end.Waited, Load: end.Load}
	if end.Outcome == policy.OutcomeDone {
		result.Response = virtualResponse{end.Issued}
	}
	if r.engine == nil {
		return
	}
	current, attempt := r.engine, hop.Tag.(*engine.Attempt)
	if v.options.Lag != nil {
		if delay := int64(v.options.Lag(router) * float64(v.now()-attempt.DecidedAt)); delay > 0 {
			v.world.After(delay, func() {
				if r.engine == current {
					current.AttemptEnded(v.now(), attempt, result)
				}
			})
			return
		}
	}
	current.AttemptEnded(v.now(), attempt, result)
}
