package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// maxUnansweredTime is how long a connection stays open whose poll gets no response.
const maxUnansweredTime = 20 * time.Second

// maxLingerMillis is the longest time that a poll waits for an event.
const maxLingerMillis = 5000

// endpointStates maps the policy's endpoint states to those of the discovery protocol.
var endpointStates = map[policy.EndpointState]string{
	policy.EndpointActive:   "ready",
	policy.EndpointDraining: "draining",
	policy.EndpointRemoved:  "gone",
}

// discoveryTarget is an endpoint in the discovery protocol.
type discoveryTarget struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	Model        string  `json:"model"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"`
}

// endpointListEvent reports changed endpoints or the complete endpoint list.
type endpointListEvent struct {
	Pool     endpointPool `json:"pool"`
	Revision int          `json:"rev"`
}

// endpointPool is a complete endpoint list or the changed endpoints of one.
type endpointPool struct {
	Complete bool              `json:"all"` // Targets holds all endpoints; false: only the changed ones
	Targets  []discoveryTarget `json:"targets"`
}

// purgeEvent reports a purge of an object or of a group.
type purgeEvent struct {
	Revision int       `json:"rev"`
	Purge    purgeBody `json:"flush"`
}

// purgeBody holds the purged object or group, of which exactly one is set, and the time of the
// purge.
type purgeBody struct {
	Object string `json:"asset,omitempty"`
	Group  *int64 `json:"collection,omitempty"`
	UnixMS int64  `json:"ms"`
}

// Notify posts an event to a router's discovery service, unless Announced has posted it.
func (s *socketRun) Notify(routerID int, event simulation.DiscoveryEvent) {
	if !s.config.SlowDiscovery {
		s.post(routerID, event)
	}
}

// Announced posts an event to a slow discovery service, before the router counts as notified.
func (s *socketRun) Announced(routerID int, event simulation.DiscoveryEvent) {
	if s.config.SlowDiscovery {
		s.post(routerID, event)
	}
}

func (s *socketRun) post(routerID int, event simulation.DiscoveryEvent) {
	process := s.routers[routerID]
	revision := len(process.discoveryEvents) + 1
	if !event.Purge {
		process.postEvent(process.newEndpointListEvent(revision, event.Endpoints, false))
		return
	}
	purge := purgeEvent{Revision: revision, Purge: purgeBody{Object: event.Object, UnixMS: s.unixMS(event.At)}}
	if event.Object == "" {
		purge.Purge.Group = &event.Group
	}
	process.postEvent(purge)
}

// newEndpointListEvent returns the event for changed endpoints, or for the complete list. It opens
// listeners for servers that have none yet.
func (r *routerProcess) newEndpointListEvent(
	revision int, endpoints []policy.Endpoint, complete bool,
) endpointListEvent {
	targets := []discoveryTarget{}
	for _, endpoint := range endpoints {
		listener, err := r.listenerFor(endpoint.ID)
		if err != nil {
			r.fail(err)
			continue
		}
		target := discoveryTarget{
			UID:          endpoint.ID,
			Endpoint:     listener.addr,
			AZ:           endpoint.Zone,
			Model:        endpoint.Kind,
			State:        endpointStates[endpoint.State],
			CapacityHint: endpoint.Weight,
		}
		if endpoint.StartedAt > 0 {
			target.BootMS = r.unixMS(endpoint.StartedAt)
		}
		targets = append(targets, target)
	}
	return endpointListEvent{Pool: endpointPool{Complete: complete, Targets: targets}, Revision: revision}
}

// encodeEvent encodes an event. An error ends the run.
func (r *routerProcess) encodeEvent(event any) json.RawMessage {
	text, err := json.Marshal(event)
	if err != nil {
		r.fail(fmt.Errorf("discovery event for router %s: %w", r.platformName(), err))
	}
	return text
}

// postEvent appends an event and wakes the polls that wait for one.
func (r *routerProcess) postEvent(event any) {
	r.discoveryEvents = append(r.discoveryEvents, r.encodeEvent(event))
	close(r.eventPosted)
	r.eventPosted = make(chan struct{})
}

// serveLongPoll answers a poll for the events after a revision: immediately if there are any,
// otherwise at the next event or when the poll's linger time has passed.
func (r *routerProcess) serveLongPoll(w http.ResponseWriter, request *http.Request) {
	if r.slowness != nil && r.slowness.leavesUnanswered() {
		sleep(r.ctx, maxUnansweredTime)
		return
	}
	query := request.URL.Query()
	since, _ := strconv.Atoi(query.Get("watch")) // 0 if it is not a number: all events
	lingerMillis, _ := strconv.Atoi(query.Get("linger"))
	linger := time.Duration(min(max(lingerMillis, 0), maxLingerMillis)) * time.Millisecond
	timeout := time.After(linger)
	for {
		update, posted := r.updateSince(since)
		if posted == nil {
			return // the run is over
		}
		if len(update.Events) > 0 {
			r.writeUpdate(w, update)
			return
		}
		select {
		case <-posted:
		case <-timeout:
			r.writeUpdate(w, update)
			return
		case <-request.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// writeUpdate answers a poll. It ignores write errors: a router whose connection has failed polls
// again.
func (r *routerProcess) writeUpdate(w http.ResponseWriter, update discoveryUpdate) {
	text, err := json.Marshal(update)
	if err != nil {
		return // encodeEvent has ended the run
	}
	if r.slowness != nil {
		r.slowness.respond(r.ctx, w, text)
		return
	}
	_, _ = w.Write(text)
}

// updateSince returns the events after a revision, which it reads in the run's loop, and the
// channel that is closed at the next event. The channel is nil once the run is over.
func (r *routerProcess) updateSince(revision int) (update discoveryUpdate, posted <-chan struct{}) {
	done := make(chan struct{})
	r.runInLoop(func() {
		defer close(done)
		posted = r.eventPosted
		update.Revision = len(r.discoveryEvents)
		update.Events = []json.RawMessage{}
		if revision < len(r.discoveryEvents) {
			update.Events = slices.Clone(r.discoveryEvents[max(revision, 0):])
		}
	})
	select {
	case <-done:
		return update, posted
	case <-r.ctx.Done():
		return discoveryUpdate{}, nil
	}
}
