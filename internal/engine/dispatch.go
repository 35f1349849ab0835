package engine

import "quilldoor/internal/policy"

func (e *Engine) handle(now int64, event policy.Event) {
	e.events = append(e.events, event)
	e.dispatch(now)
}

// dispatch hands the queued events to the policy and applies its actions until
// no event is left. Events that an action causes are queued behind the others.
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

// apply carries out one action. Discovery is followed unasked, so that a
// subscription needs nothing here.
func (e *Engine) apply(now int64, action policy.Action) {
	request := e.requests[action.Request]
	switch action.Kind {
	case policy.ActionSend:
		if request != nil {
			e.startAttempt(now, request, action)
		}
	case policy.ActionFail:
		e.refuse(now, request, CommandFail, action.RetryAfter)
	case policy.ActionReject:
		e.refuse(now, request, CommandReject, action.RetryAfter)
	case policy.ActionCancel:
		e.cancel(now, request, action.Attempt)
	case policy.ActionSetTimer:
		e.setTimer(now, &timer{due: action.Due, token: action.Token})
	case policy.ActionHealthCheck:
		e.commandEndpoint(CommandHealthCheck, action.Endpoint)
	case policy.ActionLog:
		e.postBackground(Command{
			Kind: CommandLog, Text: action.Text, EndpointID: action.Endpoint, Backoff: action.Backoff,
		})
	}
}

// refuse ends a request without a response.
func (e *Engine) refuse(now int64, request *Request, kind CommandKind, retryAfter int64) {
	if request == nil || request.closed {
		return
	}
	request.post(Command{Kind: kind, RetryAfter: retryAfter, MaybeExecuted: request.mayHaveRun()})
	e.closeRequest(now, request)
}

func (e *Engine) commandEndpoint(kind CommandKind, id string) {
	if endpoint := e.endpoints[id]; endpoint != nil {
		e.postBackground(Command{Kind: kind, Endpoint: endpoint})
	}
}

// postBackground leaves a command to the caller of Run.
func (e *Engine) postBackground(command Command) {
	e.background = append(e.background, command)
	e.kick()
}
