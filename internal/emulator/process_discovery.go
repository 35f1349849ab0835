package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// maxLingerMillis bounds how long a poll may wait for an event.
const maxLingerMillis = 5000

// endpointStates is how the discovery service words an endpoint's state.
var endpointStates = map[policy.EndpointState]string{
	policy.EndpointActive:   "ready",
	policy.EndpointDraining: "draining",
	policy.EndpointGone:     "gone",
}

// discoveryTarget is an endpoint in the discovery service's words.
type discoveryTarget struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	Model        string  `json:"model"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"`
}

// Notify posts an event to a router's discovery service.
func (s *socketRun) Notify(routerID int, notice simulation.DiscoveryEvent) {
	process := s.routers[routerID]
	revision := len(process.discoveryEvents) + 1
	if notice.Purge {
		selector := fmt.Sprintf(`"collection":%d`, notice.Group)
		if notice.Object != "" {
			selector = fmt.Sprintf(`"asset":%q`, notice.Object)
		}
		process.postEvent(fmt.Sprintf(`{"rev":%d,"flush":{%s,"ms":%d}}`, revision, selector, s.unixMS(notice.At)))
		return
	}
	process.postEvent(process.endpointListEvent(revision, notice.Servers, false))
}

// endpointListEvent is a change of the endpoint list in the discovery service's words, or the
// complete list.
func (r *routerProcess) endpointListEvent(revision int, list []simulation.Server, complete bool) string {
	targets := []discoveryTarget{}
	for _, server := range list {
		listener, err := r.listenerFor(server.ID)
		if err != nil {
			r.fail(err)
			continue
		}
		target := discoveryTarget{
			UID:          server.ID,
			Endpoint:     listener.addr,
			AZ:           server.Zone,
			Model:        server.Kind,
			State:        endpointStates[server.State],
			CapacityHint: server.Weight,
		}
		if server.StartedAt > 0 {
			target.BootMS = r.unixMS(server.StartedAt)
		}
		targets = append(targets, target)
	}
	pool := map[string]any{"all": complete, "targets": targets}
	text, err := json.Marshal(map[string]any{"rev": revision, "pool": pool})
	if err != nil {
		r.fail(fmt.Errorf("endpoint list of router n%d: %w", r.id+1, err))
	}
	return string(text)
}

// postEvent adds an event and answers the polls that wait for one.
func (r *routerProcess) postEvent(event string) {
	r.discoveryEvents = append(r.discoveryEvents, event)
	close(r.eventPosted)
	r.eventPosted = make(chan struct{})
}

// serveLongPoll answers a poll for the events after a revision: at once if there are any,
// else at the next event or when the poll's time is over.
func (r *routerProcess) serveLongPoll(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.Atoi(query.Get("watch")) // 0 where it is no number: all events
	lingerMillis, _ := strconv.Atoi(query.Get("linger"))
	linger := time.Duration(min(max(lingerMillis, 0), maxLingerMillis)) * time.Millisecond
	timeout := time.After(linger)
	for {
		events, posted := r.eventsSince(since)
		if posted == nil {
			return // the run is over
		}
		if !strings.HasSuffix(events, "[]}") {
			_, _ = io.WriteString(w, events) // a poller that is gone asks again
			return
		}
		select {
		case <-posted:
		case <-timeout:
			_, _ = io.WriteString(w, events) // a poller that is gone asks again
			return
		case <-request.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// eventsSince asks the loop for the answer to a poll, and for the channel that is closed at
// the next event. Nil: the run is over.
func (r *routerProcess) eventsSince(since int) (answer string, posted <-chan struct{}) {
	done := make(chan struct{})
	r.runInLoop(func() {
		defer close(done)
		posted = r.eventPosted
		events := ""
		if since < len(r.discoveryEvents) {
			events = strings.Join(r.discoveryEvents[max(since, 0):], ",")
		}
		answer = fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(r.discoveryEvents), events)
	})
	select {
	case <-done:
		return answer, posted
	case <-r.ctx.Done():
		return "", nil
	}
}
