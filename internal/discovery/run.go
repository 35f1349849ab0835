package discovery

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// run is the polling of one address.
type run struct {
	*Watcher
	ctx     context.Context
	poller  poller
	results chan pollResult
	polls   sync.WaitGroup
}

// Run polls the service at an address until the context ends. A later Run, also at
// another address, continues after the last event. While polls are late or fail, the
// endpoint list stays as it is.
func (w *Watcher) Run(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		Watcher: w,
		ctx:     ctx,
		poller:  poller{limits: w.limits, dial: w.dial, address: address, received: &w.receivedBytes},
		results: make(chan pollResult),
	}
	r.loop()
	cancel()
	r.polls.Wait()
	w.schedule.stop(time.Now())
	w.updateStatus()
}

// loop sends polls and applies their responses until the context ends.
func (r *run) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.ctx.Err() == nil {
		now := time.Now()
		if !now.Before(r.schedule.nextPollAt()) {
			r.send(now, nil)
		}
		r.reportLateness(now)
		r.updateStatus()
		timer.Reset(time.Until(r.nextStepAt(now)))
		select {
		case <-r.ctx.Done():
		case <-timer.C:
		case result := <-r.results:
			r.handle(result)
		}
	}
}

// nextStepAt returns when the loop has something to do without a result.
func (r *run) nextStepAt(now time.Time) time.Time {
	next := r.schedule.nextPollAt()
	if at := r.nextReportAt(now); !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}

// send sends a poll on an open connection, or on a new one if conn is nil.
func (r *run) send(now time.Time, conn *pollConn) {
	if replaced := r.schedule.replaced(); replaced != nil {
		replaced.giveUp()
		<-replaced.ended // its connection is closed
		r.schedule.giveUp(replaced, now)
	}
	ctx, giveUp := context.WithCancel(r.ctx)
	r.lastSequence++
	p := &poll{
		sequence:  r.lastSequence,
		revision:  r.revision,
		numbering: r.numbering,
		startedAt: now,
		giveUp:    giveUp,
		ended:     make(chan struct{}),
	}
	r.schedule.sent(p)
	r.polls.Go(func() {
		defer close(p.ended)
		defer giveUp()
		result := r.poller.do(ctx, p, conn)
		select {
		case r.results <- result:
		case <-ctx.Done():
			if result.conn != nil {
				result.conn.Close()
			}
		}
	})
}

// handle applies a poll's response, or handles its error. The connection serves the next poll if
// that is due now, and is closed otherwise.
func (r *run) handle(result pollResult) {
	now := time.Now()
	if result.err != nil {
		if r.schedule.failed(result.poll, now) {
			r.reportFailure(result.err)
		}
		return
	}
	lateness := r.schedule.answered(result.poll, now, len(result.update.Events) > 0)
	r.reportResponse(lateness, now)
	r.applyResponse(result.poll, result.update)
	switch now = time.Now(); {
	case result.conn == nil:
	case now.Before(r.schedule.nextPollAt()):
		result.conn.Close()
	default:
		r.send(now, result.conn)
	}
}

// applyResponse applies the response to a poll. Of several open polls, one may be answered after a
// later one: its response then has a lower revision than the last event, which must not be
// taken for a restart of the numbers. After such a restart, an earlier poll may still bring
// events with the old numbers: only its purges are used, since the endpoints' states may be
// older than those that came with the new numbers.
func (w *Watcher) applyResponse(p *poll, update *Update) {
	switch {
	case p.numbering != w.numbering:
		w.applyPurges(update)
	case update.Revision > 0 && update.Revision >= p.revision && update.Revision < w.revision:
		// The response to a later poll had all its events.
	default:
		w.Apply(update)
	}
}

// noConnectionError reports a service to which no connection could be opened yet.
type noConnectionError struct{ after time.Duration }

func (e noConnectionError) Error() string {
	return fmt.Sprintf("no connection for %v", e.after.Round(time.Millisecond))
}

// noResponseError reports a service that has not answered a poll.
type noResponseError struct{ after time.Duration }

func (e noResponseError) Error() string {
	return fmt.Sprintf("no response to a poll for %v", e.after.Round(time.Millisecond))
}
