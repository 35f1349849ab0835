package upstream

// unwrittenDrop is a DROP that has been queued and not written. Where the site does not
// permit two attempts of a request in flight, the request's next attempt is sent only
// after it, since the endpoint counts the first one as in flight until then.
type unwrittenDrop struct {
	next *Call // nil: the request has no next attempt yet
}

// awaitDrop makes a call wait if the drop of its request's previous attempt is not
// written. It reports whether the call waits. The caller holds the lock.
func (p *Pool) awaitDrop(call *Call) (waits bool) {
	drop := p.unwrittenDrops[call.id()]
	if drop == nil {
		return false
	}
	if drop.next != nil { // withdrawn meanwhile
		drop.next.Body.Release()
	}
	call.waitedIn = p
	call.Body.Retain()
	drop.next = call
	return true
}

// dropQueued records a drop that is about to be queued. The caller holds the lock.
func (p *Pool) dropQueued(id string) {
	if !p.limits.Hedging {
		p.unwrittenDrops[id] = &unwrittenDrop{}
	}
}

// dropDone sends the call that waits for a drop, once the drop is written or its
// connection closed, which gives the attempt up as well.
func (p *Pool) dropDone(id string) {
	p.mu.Lock()
	drop := p.unwrittenDrops[id]
	delete(p.unwrittenDrops, id)
	p.mu.Unlock()
	if drop != nil && drop.next != nil {
		p.Send(drop.next)
		drop.next.Body.Release()
	}
}
