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

// Told puts an event on a router's board.
func (v *socketRun) Told(router int, n simulation.Notice) {
	r := v.routers[router]
	revision := len(r.discoveryEvents) + 1
	if n.Purge {
		selector := fmt.Sprintf(`"collection":%d`, n.Group)
		if n.Object != "" {
			selector = fmt.Sprintf(`"asset":%q`, n.Object)
		}
		r.postEvent(fmt.Sprintf(`{"rev":%d,"flush":{%s,"ms":%d}}`, revision, selector, v.unixMS(n.At)))
		return
	}
	r.postEvent(r.endpointListEvent(revision, n.Servers, false))
}

// endpointListEvent is a change of the list as the board words it.
func (r *routerProcess) endpointListEvent(revision int, list []simulation.Server, all bool) string {
	type target struct {
		UID          string  `json:"uid"`
		Endpoint     string  `json:"endpoint"`
		AZ           string  `json:"az"`
		Model        string  `json:"model"`
		State        string  `json:"state"`
		CapacityHint float64 `json:"capacity_hint"`
		BootMS       int64   `json:"boot_ms"`
	}
	states := map[policy.EndpointState]string{policy.EndpointActive: "ready", policy.EndpointDraining: "draining", policy.EndpointGone: "gone"}
	out := []target{}
	for _, s := range list {
		p, err := r.listenerFor(s.ID)
		if err != nil {
			r.fail(err)
			continue
		}
		t := target{s.ID, p.addr, s.Zone, s.Kind, states[s.State], s.Weight, 0}
		if s.StartedAt > 0 {
			t.BootMS = r.unixMS(s.StartedAt)
		}
		out = append(out, t)
	}
	text, _ := json.Marshal(map[string]any{"rev": revision, "pool": map[string]any{"all": all, "targets": out}})
	return string(text)
}

func (r *routerProcess) postEvent(event string) {
	r.discoveryEvents = append(r.discoveryEvents, event)
	close(r.eventPosted)
	r.eventPosted = make(chan struct{})
}

// serveLongPoll is the board's long poll.
func (r *routerProcess) serveLongPoll(w http.ResponseWriter, request *http.Request) {
	since, _ := strconv.Atoi(request.URL.Query().Get("watch"))
	lingerMillis, _ := strconv.Atoi(request.URL.Query().Get("linger"))
	timeout := time.After(time.Duration(min(max(lingerMillis, 0), 5000)) * time.Millisecond)
	for {
		var events string
		var posted <-chan struct{}
		done := make(chan struct{})
		r.runInLoop(func() {
			defer close(done)
			posted = r.eventPosted
			if since < len(r.discoveryEvents) {
				events = strings.Join(r.discoveryEvents[max(since, 0):], ",")
			}
			events = fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(r.discoveryEvents), events)
		})
		select {
		case <-done:
		case <-r.ctx.Done():
			return
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
