package engine

import "quilldoor/internal/policy"

// handle queues one event and dispatches it.
func (e *Engine) handle(now int64, event policy.Event) {
	e.events = append(e.events, event)
	e.dispatch(now)
}

// dispatch passes the queued events to the policy and applies its actions until
// the queue is empty. Events that an action causes go to the end of the queue.
func (e *Engine) dispatch(now int64) {
	for len(e.events) > 0 {
		event := e.events[0]
		e.events = e.events[1:]
		e.actions = e.policy.Handle(now, event, e.actions[:0])
		for _, action := range e.actions {
			e.apply(now, action)
		}
	}
	e.events = nil
}

// apply carries out one action. It ignores policy.ActionSubscribe, since discovery
// reports the endpoint list without a subscription.
func (e *Engine) apply(now int64, action policy.Action) {
	request := e.requests[action.Request]
	switch action.Kind {
	case policy.ActionSend:
		if request != nil {
			e.startAttempt(now, request, action)
		}
	case policy.ActionFail:
		e.endWithoutResponse(now, request, CommandFail, action.RetryAfter)
	case policy.ActionReject:
		e.endWithoutResponse(now, request, CommandReject, action.RetryAfter)
	case policy.ActionCancel:
		e.cancel(now, request, action.Attempt)
	case policy.ActionSetTimer:
		e.setTimer(now, &timer{due: action.Due, token: action.Token})
	case policy.ActionHealthCheck:
		e.postEndpointCommand(CommandHealthCheck, action.Endpoint)
	case policy.ActionLog:
		e.postBackground(Command{
			Kind: CommandLog, Text: action.Text, EndpointID: action.Endpoint, Backoff: action.Backoff,
		})
	}
}

// endWithoutResponse answers an open request with CommandReject or CommandFail.
func (e *Engine) endWithoutResponse(now int64, request *Request, kind CommandKind, retryAfter int64) {
	if request == nil || request.closed {
		return
	}
	request.post(Command{Kind: kind, RetryAfter: retryAfter, MaybeExecuted: request.maybeExecuted()})
	e.closeRequest(now, request)
}

// postEndpointCommand queues a background command for an endpoint, if the endpoint is
// still listed.
func (e *Engine) postEndpointCommand(kind CommandKind, id string) {
	if endpoint := e.endpoints[id]; endpoint != nil {
		e.postBackground(Command{Kind: kind, Endpoint: endpoint})
	}
}

// postBackground queues a command for the caller of Run.
func (e *Engine) postBackground(command Command) {
	e.background = append(e.background, command)
	e.requestRun()
}
