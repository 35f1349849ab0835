package discovery

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// script answers polls in the order of their arrival by functions, and those behind them at once.
func script(steps ...behaviour) behaviour {
	return func(s *virtualService, poll *servedPoll) {
		if poll.number <= len(steps) {
			steps[poll.number-1](s, poll)
			return
		}
		poll.respond(s.decide(poll))
	}
}

// respondAfter sends a text after a delay, whatever the service has.
func respondAfter(delay time.Duration, text string) behaviour {
	return func(_ *virtualService, poll *servedPoll) {
		time.Sleep(delay)
		poll.respond(text)
	}
}

// play runs a watcher for a while and returns what its handler received.
func play(t *testing.T, service *virtualService, duration time.Duration) (*timeline, *Watcher) {
	t.Helper()
	events := newTimeline()
	watcher, stop := service.watch(events)
	time.Sleep(duration)
	stop()
	return events, watcher
}

// Guards against a connection that falls silent and holds up discovery for longer than one poll: the
// next poll goes out on another connection.
func TestSilentConnectionIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newVirtualService(script(neverAnswer, neverAnswer))
		service.purge("x")
		began := time.Now()
		events, _ := play(t, service, 10*time.Second)
		limits := defaultLimits()
		each := limits.PollWait + limits.PollGrace
		if known := events.knownAt["x"].Sub(began); known < 2*each || known > 2*each+4*limits.PollBackoffMin {
			t.Errorf("known after %v, want two polls' %v each, and a short backoff", known, each)
		}
	})
}

// Guards against a third silent connection in a row that ends polling, since no more polls may be open.
func TestPollsContinueBesideSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newVirtualService(script(neverAnswer, neverAnswer, neverAnswer, neverAnswer, neverAnswer))
		service.purge("x")
		began := time.Now()
		events, _ := play(t, service, 20*time.Second)
		if known := events.knownAt["x"].Sub(began); known <= 0 || known > 10*time.Second {
			t.Errorf("known after %v, want some 9 s", known)
		}
		if service.mostOpen > maxOpenPolls {
			t.Errorf("%d connections at once", service.mostOpen)
		}
	})
}

// Guards against taking an overtaken response, whose revision is below the last event's, for a
// restart of the service's numbers, and against applying events twice.
func TestOvertakenResponseIsNoRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first = `{"rev":1,"notices":[{"rev":1,"flush":{"asset":"a","ms":1}}]}`
		const both = `{"rev":2,"notices":[{"rev":1,"flush":{"asset":"a","ms":1}},{"rev":2,"flush":{"asset":"b","ms":1}}]}`
		service := newVirtualService(script(respondAfter(4*time.Second, first), respondAfter(time.Second, both)))
		service.purge("a")
		service.purge("b")
		service.purge("c")
		events, _ := play(t, service, 10*time.Second)
		if want := []string{"a", "b", "c"}; !slices.Equal(events.purges, want) {
			t.Errorf("purges %q, want %q", events.purges, want)
		}
		if slices.Contains(events.reports, "gap") {
			t.Errorf("reports %q, want no gap", events.reports)
		}
	})
}

// Guards against endpoints that come back in an older state, and purges that are lost, when the
// service restarts its numbers while several polls are open and the old service answers one of
// them last.
func TestRestartOfTheNumbersWhilePollsAreOpen(t *testing.T) {
	const (
		target  = `{"uid":"a","endpoint":"1.1.1.1:1","state":%q}`
		purge   = `{"rev":42,"flush":{"asset":"told by the old service","ms":1}}`
		renewed = `{"rev":1,"notices":[]}`
	)
	list := func(rev int, state string) string {
		return fmt.Sprintf(`{"rev":%d,"pool":{"all":true,"targets":[`+target+`]}}`, rev, state)
	}
	old := fmt.Sprintf(`{"rev":42,"notices":[%s,%s]}`, list(41, "ready"), purge)
	for name, test := range map[string]struct {
		oldAnswersAfter time.Duration
		want            []string // the last report of the list
	}{
		"the old service last":  {5 * time.Second, []string{"disk a:active", "gap", "snapshot a:leaving"}},
		"the old service first": {2 * time.Second, []string{"disk a:active", "snapshot a:active", "gap", "snapshot a:leaving"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newVirtualService(script(
					respondAfter(0, fmt.Sprintf(`{"rev":40,"notices":[%s]}`, list(40, "ready"))),
					respondAfter(test.oldAnswersAfter, old),
					respondAfter(time.Second, renewed),
				))
				service.events = []string{list(1, "draining")}
				events, watcher := play(t, service, 12*time.Second)
				var lists []string
				for _, report := range events.reports {
					if report == "gap" || len(report) > len("snapshot ") && report[:4] != "slow" {
						lists = append(lists, report)
					}
				}
				if !slices.Equal(lists, test.want) {
					t.Errorf("reports %q, want %q", lists, test.want)
				}
				if !slices.Equal(events.purges, []string{"told by the old service"}) {
					t.Errorf("purges %q", events.purges)
				}
				if revision, _ := watcher.Snapshot(); revision != 1 {
					t.Errorf("revision %d, want the new numbers' 1", revision)
				}
			})
		})
	}
}

// Guards against a response that never ends, byte by byte, and holds its poll open for good.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended time.Duration
		began := time.Now()
		service := newVirtualService(script(func(_ *virtualService, poll *servedPoll) {
			fmt.Fprintf(poll.conn, "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n")
			for {
				if _, err := poll.conn.Write([]byte("{")); err != nil {
					ended = time.Since(began)
					return
				}
				time.Sleep(time.Second)
			}
		}))
		service.purge("x")
		events, _ := play(t, service, time.Minute)
		if ended < maxPollAge || ended > maxPollAge+2*time.Second {
			t.Errorf("the connection ended after %v, want some %v", ended, maxPollAge)
		}
		if known := events.knownAt["x"].Sub(began); known <= 0 || known > 5*time.Second {
			t.Errorf("known after %v", known)
		}
	})
}

// Guards against a long list that takes longer than a poll's greatest age without bytes.
func TestLongResponseIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, bytesPerSecond = 4 * 60 << 10, 5 << 10 // 48 s
		service := newVirtualService(func(s *virtualService, poll *servedPoll) {
			text := s.decide(poll)
			text += fmt.Sprintf("%*s", size, "")
			fmt.Fprintf(poll.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
			for i := 0; i < len(text); i += bytesPerSecond {
				time.Sleep(time.Second)
				if _, err := fmt.Fprint(poll.conn, text[i:min(i+bytesPerSecond, len(text))]); err != nil {
					return
				}
			}
		})
		service.purge("x")
		events := newTimeline()
		service.limits.MaxDiscoveryBody = 2 * size
		_, stop := service.watch(events)
		time.Sleep(2 * time.Minute)
		stop()
		if len(events.purges) != 1 {
			t.Errorf("purges %q, want one", events.purges)
		}
	})
}

// In ordinary times one poll is open, and the next one follows its response.
func TestTimelyServiceHasOnePollOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newVirtualService(script())
		events, watcher := play(t, service, time.Minute)
		if status := watcher.Status(); service.mostOpen != 1 || status.SentPolls < 59 || status.SentPolls > 61 {
			t.Errorf("%d connections at once, %d polls in a minute", service.mostOpen, status.SentPolls)
		}
		if len(events.reports) > 0 {
			t.Errorf("reports %q", events.reports)
		}
	})
}

// Guards against the reports of a slow service as lost, and against a recovery that is never
// reported because the polling was started anew meanwhile, as after a reload.
func TestReportsOfSlowAndLostServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newVirtualService(script())
		events := newTimeline()
		watcher, stop := service.watch(events)
		step := func(name string, duration time.Duration, respond behaviour, want ...string) {
			t.Helper()
			service.setBehaviour(respond)
			time.Sleep(duration)
			events.mu.Lock()
			defer events.mu.Unlock()
			if !slices.Equal(events.reports, want) {
				t.Errorf("%s: reports %q, want %q", name, events.reports, want)
			}
			events.reports = nil
		}
		step("timely", 10*time.Second, script())
		step("slow", 20*time.Second, answerAfter(2*time.Second), "slow 500ms", "slow 2s")
		step("timely again", 20*time.Second, script(), "restored")
		step("silent", 20*time.Second, neverAnswer, "slow 500ms", "lost")
		if age := time.Since(watcher.Status().KnownAt); age < 20*time.Second || age > 21*time.Second {
			t.Errorf("what is known is %v old, want the silent service's 20 s", age)
		}
		stop()
		_, stop = service.resume(watcher)
		step("after a reload", 10*time.Second, script(), "restored")
		stop()
	})
}

// Guards against routers that poll a slow service in the same moment, again and again, after an
// event or a stop of the service has brought them together.
func TestRoutersPollASlowServiceAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 50
		service := newVirtualService(neverAnswer)
		var stops []func()
		for range routers {
			_, stop := service.watch(newTimeline())
			stops = append(stops, stop)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		polls := slices.Clone(service.polls)
		var stopped sync.WaitGroup
		for _, stop := range stops {
			stopped.Go(stop)
		}
		stopped.Wait()
		byMillisecond := map[int64]int{}
		most := 0
		for _, at := range polls[routers:] { // without the first ones
			byMillisecond[at.UnixMilli()]++
			most = max(most, byMillisecond[at.UnixMilli()])
		}
		if len(polls) != 3*routers || most > routers/5 {
			t.Errorf("%d polls, up to %d in a millisecond", len(polls), most)
		}
	})
}

// Guards against a purge that is thought to be known while a poll is unanswered: the time since
// which events may be unknown follows the oldest such poll, or the broken connection.
func TestOverdueFollowsTheOldestUnansweredPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newVirtualService(neverAnswer)
		began := time.Now()
		overdue := overdueRecorder{newTimeline(), nil}
		_, stop := service.watch(&overdue)
		time.Sleep(10 * time.Second)
		stop()
		wait := defaultLimits().PollWait
		if last := overdue.since[len(overdue.since)-1].Sub(began); last != wait {
			t.Errorf("overdue since %v behind the first poll, want its wait of %v", last, wait)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		const brokenAfter = 300 * time.Millisecond
		service := newVirtualService(script(func(_ *virtualService, poll *servedPoll) {
			time.Sleep(brokenAfter)
			poll.conn.Close()
		}))
		began := time.Now()
		overdue := overdueRecorder{newTimeline(), nil}
		_, stop := service.watch(&overdue)
		time.Sleep(10*time.Second + brokenAfter)
		synctest.Wait()
		defer stop()
		if !slices.ContainsFunc(overdue.since, func(at time.Time) bool { return at.Sub(began) == brokenAfter }) {
			t.Errorf("overdue since %v, want %v", overdue.since, brokenAfter)
		}
		if last := overdue.since[len(overdue.since)-1]; time.Until(last) < 0 {
			t.Errorf("overdue since %v after the service was back", last)
		}
	})
}

// Guards against a purge that is thought to be known again while no poll has been answered, because
// a poll has failed late or the watcher has been started anew: the time since which events may be
// unknown stays.
func TestOverdueTimeStaysUntilAResponse(t *testing.T) {
	t.Run("polls fail late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			service := newVirtualService(neverAnswer)
			began := time.Now()
			overdue := overdueRecorder{newTimeline(), nil}
			_, stop := service.watch(&overdue)
			time.Sleep(3 * maxPollAge)
			stop()
			overdue.checkStays(t, began.Add(defaultLimits().PollWait))
		})
	})
	t.Run("started anew", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const each = 5 * time.Second
			service := newVirtualService(neverAnswer)
			began := time.Now()
			overdue := overdueRecorder{newTimeline(), nil}
			watcher, stop := service.watch(&overdue)
			time.Sleep(each)
			stop()
			_, stop = service.resume(watcher)
			time.Sleep(each)
			stop()
			overdue.checkStays(t, began.Add(defaultLimits().PollWait))
		})
	})
}

// overdueRecorder records the reports of overdue polls, too.
type overdueRecorder struct {
	*timeline
	since []time.Time
}

func (r *overdueRecorder) DiscoveryOverdue(since time.Time) { r.since = append(r.since, since) }

// checkStays checks that the time since which polls are overdue, once it is in the past, is the given one.
func (r *overdueRecorder) checkStays(t *testing.T, want time.Time) {
	t.Helper()
	for _, since := range r.since {
		if since.After(want) || since.IsZero() {
			t.Errorf("overdue since %v later than the first poll had to be answered", since.Sub(want))
		}
	}
}
