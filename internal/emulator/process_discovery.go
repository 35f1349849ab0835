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
func (v *sockets) Told(router int, n simulation.Notice) {
	r := v.routers[router]
	rev := len(r.events) + 1
	if n.Purge {
		what := fmt.Sprintf(`"collection":%d`, n.Group)
		if n.Object != "" {
			what = fmt.Sprintf(`"asset":%q`, n.Object)
		}
		r.post(fmt.Sprintf(`{"rev":%d,"flush":{%s,"ms":%d}}`, rev, what, v.unixMS(n.At)))
		return
	}
	r.post(r.pool(rev, n.Servers, false))
}

// pool is a change of the list as the board words it.
func (r *process) pool(rev int, list []simulation.Server, all bool) string {
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
		p, err := r.place(s.ID)
		if err != nil {
			r.failed(err)
			continue
		}
		t := target{s.ID, p.addr, s.Zone, s.Kind, states[s.State], s.Weight, 0}
		if s.StartedAt > 0 {
			t.BootMS = r.unixMS(s.StartedAt)
		}
		out = append(out, t)
	}
	text, _ := json.Marshal(map[string]any{"rev": rev, "pool": map[string]any{"all": all, "targets": out}})
	return string(text)
}

func (r *process) post(event string) {
	r.events = append(r.events, event)
	close(r.changed)
	r.changed = make(chan struct{})
}

// poll is the board's long poll.
func (r *process) poll(w http.ResponseWriter, q *http.Request) {
	watch, _ := strconv.Atoi(q.URL.Query().Get("watch"))
	linger, _ := strconv.Atoi(q.URL.Query().Get("linger"))
	late := time.After(time.Duration(min(max(linger, 0), 5000)) * time.Millisecond)
	for {
		var news string
		var more <-chan struct{}
		done := make(chan struct{})
		r.send(func() {
			defer close(done)
			more = r.changed
			if watch < len(r.events) {
				news = strings.Join(r.events[max(watch, 0):], ",")
			}
			news = fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(r.events), news)
		})
		select {
		case <-done:
		case <-r.ctx.Done():
			return
		}
		if !strings.HasSuffix(news, "[]}") {
			_, _ = io.WriteString(w, news) // a poller that is gone asks again
			return
		}
		select {
		case <-more:
		case <-late:
			_, _ = io.WriteString(w, news) // a poller that is gone asks again
			return
		case <-q.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}
