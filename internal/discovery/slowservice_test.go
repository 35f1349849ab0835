package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"quilldoor/internal/config"
)

// slowService is a discovery service on loopback that answers polls correctly, but late.
type slowService struct {
	*httptest.Server
	respond func(w http.ResponseWriter, text string) // called when the response is due

	mu     sync.Mutex
	events []string
	added  chan struct{} // closed and replaced with each event
}

func newSlowService(t *testing.T, respond func(w http.ResponseWriter, text string)) *slowService {
	t.Helper()
	s := &slowService{respond: respond, added: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(s.poll))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// purge adds the purge of an object as an event.
func (s *slowService) purge(object string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(`{"rev":%d,"flush":{"asset":%q,"ms":1}}`, len(s.events)+1, object))
	close(s.added)
	s.added = make(chan struct{})
}

// update returns the response to a poll, and a channel that is closed at the next event. The channel is nil when the
// response has events.
func (s *slowService) update(watch int) (text string, added <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unseen := s.events[min(watch, len(s.events)):]
	text = fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(s.events), strings.Join(unseen, ","))
	if len(unseen) > 0 {
		return text, nil
	}
	return text, s.added
}

// poll decides the response when there is an event, or when the poll's wait is over, and then lets respond send it.
func (s *slowService) poll(w http.ResponseWriter, r *http.Request) {
	watch, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	linger, _ := strconv.Atoi(r.URL.Query().Get("linger"))
	text, added := s.update(watch)
	if added != nil {
		select {
		case <-added:
		case <-time.After(time.Duration(linger) * time.Millisecond):
		}
		text, _ = s.update(watch)
	}
	s.respond(w, text)
}

// Guards against a discovery service that is never heard because each poll is given up after a fixed time, while the
// service needs longer for its responses, and continues to work on the polls that were given up.
func TestSlowServiceIsHeard(t *testing.T) {
	const (
		pollWait  = 100 * time.Millisecond
		pollGrace = 50 * time.Millisecond
		// The platform's times, in the proportion in which the wait is shorter here.
		lossTime     = 2 * pollWait
		deliveryTime = 7 * pollWait
	)
	var turn sync.Mutex
	for name, respond := range map[string]func(w http.ResponseWriter, text string){
		"late as a whole": func(w http.ResponseWriter, text string) {
			time.Sleep(2 * pollWait)
			w.Write([]byte(text))
		},
		"later": func(w http.ResponseWriter, text string) {
			time.Sleep(4 * pollWait)
			w.Write([]byte(text))
		},
		"one poll at a time": func(w http.ResponseWriter, text string) {
			turn.Lock()
			defer turn.Unlock()
			time.Sleep(2 * pollWait)
			w.Write([]byte(text))
		},
		"body in pieces": func(w http.ResponseWriter, text string) {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			for i := range len(text) {
				w.Write([]byte{text[i]})
				w.(http.Flusher).Flush()
				time.Sleep(3 * pollWait / time.Duration(len(text)))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			service := newSlowService(t, respond)
			events := make(recorder, 100)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			limits := &config.Limits{
				PollWait: pollWait, PollGrace: pollGrace, PollBackoffMin: 2 * time.Millisecond,
				PollBackoffMax: 25 * time.Millisecond, PollLossTime: lossTime, EventDeliveryTime: deliveryTime,
				MaxHeadBytes: 1000, MaxHeaderFields: 10, MaxDiscoveryBody: 10_000,
			}
			go New(limits, events).Run(ctx, service.Listener.Addr().String())
			for i := range 4 {
				time.Sleep(3 * pollWait * time.Duration(i+1) / 2) // at different moments of the polls
				object := "object-" + strconv.Itoa(i)
				service.purge(object)
				events.expectWithin(t, deliveryTime, fmt.Sprintf("purge %q 0 1000", object))
			}
		})
	}
}

// expectWithin fails the test unless the event comes in time. It ignores others.
func (r recorder) expectWithin(t *testing.T, limit time.Duration, want string) {
	t.Helper()
	deadline := time.After(limit)
	for {
		select {
		case got := <-r:
			if got == want {
				return
			}
		case <-deadline:
			t.Fatalf("no event %q within %v", want, limit)
		}
	}
}
