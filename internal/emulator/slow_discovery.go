package emulator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// slowDiscoveryStream separates the random generator of slow discovery services from the others.
const slowDiscoveryStream = 11

// slowForm is a way in which a discovery service is slow.
type slowForm int

const (
	slowWhole  slowForm = iota // a response is sent late as a whole
	slowQueue                  // one response at a time is worked on, also for polls that were given up
	slowBody                   // a response is sent in pieces
	slowSilent                 // polls are left without a response, while the connection stays open
	slowForms
)

// longestSlowness bounds, by form, the time that a response takes: the delay, the turn or the body.
// Of silent services it is unused.
var longestSlowness = [slowForms]time.Duration{
	slowWhole: 4 * time.Second,
	slowQueue: 2 * time.Second,
	slowBody:  3 * time.Second,
}

// slowDiscovery is the slowness of a router's discovery service.
type slowDiscovery struct {
	form  slowForm
	delay time.Duration
	turn  chan struct{} // holds a token while a response is worked on
	polls atomic.Int64
}

// newSlowDiscovery draws the slowness of a router's service.
func newSlowDiscovery(seed uint64, router int) *slowDiscovery {
	random := rand.New(rand.NewPCG(seed+uint64(router), slowDiscoveryStream))
	form := slowForm((router + int(seed)) % int(slowForms))
	const shortestDivisor = 4 // of the longest
	longest := longestSlowness[form]
	return &slowDiscovery{
		form:  form,
		delay: longest/shortestDivisor + time.Duration(random.Float64()*float64(longest-longest/shortestDivisor)),
		turn:  make(chan struct{}, 1),
	}
}

// leavesUnanswered reports whether a new poll gets no response.
func (d *slowDiscovery) leavesUnanswered() bool {
	return d.form == slowSilent && d.polls.Add(1)%2 == 0
}

// respond sends a response that is due.
func (d *slowDiscovery) respond(ctx context.Context, w http.ResponseWriter, text []byte) {
	switch d.form {
	case slowWhole:
		sleep(ctx, d.delay)
	case slowQueue:
		d.turn <- struct{}{}
		sleep(ctx, d.delay)
		<-d.turn
	case slowBody:
		text = d.sendPieces(ctx, w, text)
	}
	_, _ = w.Write(text) // a router whose connection has failed polls again
}

// sendPieces sends a response byte by byte, apart from the last one, which it returns.
func (d *slowDiscovery) sendPieces(ctx context.Context, w http.ResponseWriter, text []byte) []byte {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	controller := http.NewResponseController(w)
	pause := d.delay / time.Duration(len(text))
	for len(text) > 1 {
		if _, err := w.Write(text[:1]); err != nil || controller.Flush() != nil {
			return nil
		}
		sleep(ctx, pause)
		text = text[1:]
	}
	return text
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
