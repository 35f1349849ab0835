package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
	"quilldoor/internal/settings"
	"quilldoor/internal/simhost"
)

// adapterMessage is an event for simadapter. Its keys are written out here and not taken
// from package simwire, so that a key that changes there shows.
type adapterMessage struct {
	Verb       string             `json:"verb"`
	Instance   int                `json:"I"`
	Seed       uint64             `json:"Seed,omitempty"`
	Setup      *settings.Setup    `json:"Setup,omitempty"`
	Page       *int               `json:"Page,omitempty"`
	Endpoints  []adapterEndpoint  `json:"NodesList,omitempty"`
	Scope      policy.UpdateScope `json:"Scope,omitempty"`
	Request    string             `json:"OpId,omitempty"`
	Class      string             `json:"Grade,omitempty"`
	Object     string             `json:"ContentId,omitempty"`
	Remaining  float64            `json:"RemainingMs,omitempty"`
	SizeKB     float64            `json:"LengthKb,omitempty"`
	Part       int                `json:"Piece,omitempty"`
	Group      int64              `json:"BatchId,omitempty"`
	RTT        float64            `json:"RttMs,omitempty"`
	Endpoint   string             `json:"Server,omitempty"`
	Outcome    string             `json:"Rc,omitempty"`
	Load       map[string]float64 `json:"Stats,omitempty"`
	Token      int64              `json:"Ctx,omitempty"`
	Attempt    int                `json:"RoundNo,omitempty"`
	Age        float64            `json:"AgeMs,omitempty"`
	Reason     policy.Reason      `json:"Remark,omitempty"`
	OriginWait float64            `json:"WaitedMs,omitempty"`
	Final      bool               `json:"Final,omitempty"`
}

// adapterEndpoint is an entry of an endpoint list for simadapter.
type adapterEndpoint struct {
	ID        string               `json:"Server"`
	Zone      string               `json:"Site"`
	Kind      string               `json:"Kind"`
	Cell      int                  `json:"Stripe"`
	State     policy.EndpointState `json:"Availability"`
	Weight    float64              `json:"Heft"`
	StartedAt float64              `json:"BornMs"`
}

// adapterDecision is one of simadapter's decisions, as far as a recording reacts to it.
type adapterDecision struct {
	Verb     string  `json:"verb"`
	Instance int     `json:"I"`
	Request  string  `json:"OpId"`
	Endpoint string  `json:"Server"`
	Attempt  int     `json:"RoundNo"`
	Due      float64 `json:"DueAtMs"`
	Token    int64   `json:"Ctx"`
}

// scheduledMessage is an event of a recording that is yet to come.
type scheduledMessage struct {
	at      int // milliseconds
	message *adapterMessage
}

// sentAttempt names an attempt of a recording.
type sentAttempt struct {
	request string
	number  int
}

const (
	recordingMS       = 20_000
	recordingRouters  = 2
	recordingRequests = 2_500
	recordingObjects  = 200
	recordingGroups   = 8
	recordingCaches   = 4
)

// adapterRecording makes events for two routers before caches, a parent and an origin
// that answer, fail, drain and restart. It reacts to what this program's adapter decides.
type adapterRecording struct {
	alwaysWarm bool // no endpoint has a slow start
	random     *rand.Rand
	host       *simhost.Host
	scenario   scenario.Scenario
	now        int // milliseconds
	turn       int
	page       int
	scheduled  []scheduledMessage
	ended      map[sentAttempt]bool
	sent       map[string]int // attempts by request
	lines      bytes.Buffer
	decisions  map[string]int // by verb
}

func newAdapterRecording(seed uint64) *adapterRecording {
	return &adapterRecording{
		random:    rand.New(rand.NewPCG(seed, seed)),
		host:      simhost.New(&bytes.Buffer{}),
		scenario:  scenario.Default(),
		ended:     map[sentAttempt]bool{},
		sent:      map[string]int{},
		decisions: map[string]int{},
	}
}

// schedule adds an event after a delay.
func (r *adapterRecording) schedule(delay int, message adapterMessage) {
	r.scheduled = append(r.scheduled, scheduledMessage{r.now + max(delay, 1), &message})
}

// scheduleForAll adds an event for each router after a delay.
func (r *adapterRecording) scheduleForAll(delay int, message adapterMessage) {
	for instance := range recordingRouters {
		message.Instance = instance
		r.schedule(delay, message)
	}
}

// record makes the recording.
func (r *adapterRecording) record() error {
	r.scheduleStart()
	r.scheduleRequests()
	r.scheduleUpdates()
	for len(r.scheduled) > 0 && r.now < recordingMS {
		if err := r.playNext(); err != nil {
			return err
		}
	}
	return nil
}

// scheduleStart starts the routers with an endpoint list.
func (r *adapterRecording) scheduleStart() {
	for instance := range recordingRouters {
		setup := r.scenario.Settings(0, instance)
		if instance > 0 { // not of the scenario's
			setup.Limits.Probes = true
			setup.Limits.SecondCopies = true
			setup.FamilyInfo.FlowKbPerS = 0 // transfer times are learned
			setup.Discovery = "ask"
		}
		if r.alwaysWarm {
			setup.Contract.ColdMs, setup.FamilyInfo.ParentRampMs = 0, 0
		}
		r.schedule(1, adapterMessage{Verb: "PowerOn", Instance: instance, Seed: uint64(instance + 1), Setup: &setup})
	}
	r.scheduleList(2, policy.ScopeInitial, r.endpoints())
}

// endpoints is the list at the start.
func (r *adapterRecording) endpoints() []adapterEndpoint {
	list := []adapterEndpoint{
		{ID: "parent", Zone: "trunk-1", Kind: scenario.EndpointParent, State: policy.EndpointActive, Weight: 40},
		{ID: "origin", Zone: "home", Kind: scenario.EndpointOrigin, State: policy.EndpointActive, Weight: 40},
	}
	for i := range recordingCaches {
		list = append(list, r.cache(i, policy.EndpointActive, 0))
	}
	return list
}

func (r *adapterRecording) cache(number int, state policy.EndpointState, startedAt int) adapterEndpoint {
	return adapterEndpoint{
		ID: fmt.Sprint("cache", number), Zone: scenario.Zone(0), Kind: scenario.EndpointCache,
		Cell: number % 2, State: state, Weight: 8, StartedAt: float64(startedAt),
	}
}

// scheduleList gives all routers an endpoint list.
func (r *adapterRecording) scheduleList(delay int, scope policy.UpdateScope, list []adapterEndpoint) {
	r.page++
	page := r.page
	r.schedule(delay, adapterMessage{Verb: "Inventory", Page: &page, Endpoints: list})
	r.scheduleForAll(delay, adapterMessage{Verb: "Discovery", Scope: scope, Page: &page})
}

// scheduleRequests lets requests arrive, some of whose clients leave.
func (r *adapterRecording) scheduleRequests() {
	classes := r.scenario.Settings(0, 0).Classes
	for i := range recordingRequests {
		class := classes[r.random.IntN(len(classes))]
		object := int(r.random.ExpFloat64()*recordingObjects/8) % recordingObjects
		message := adapterMessage{
			Verb:      "NewRequest",
			Instance:  i % recordingRouters,
			Request:   fmt.Sprintf("%016x", i+1),
			Class:     class.Name,
			Object:    fmt.Sprint("object", object),
			Group:     int64(object % recordingGroups),
			Part:      r.random.IntN(3),
			SizeKB:    float64(10 + object),
			Remaining: class.GiveUpMs,
		}
		const firstRequest = 10
		arrival := firstRequest + r.random.IntN(recordingMS-firstRequest)
		r.schedule(arrival, message)
		const abandonedShare = 0.03
		if r.random.Float64() < abandonedShare {
			gone := adapterMessage{Verb: "Abandoned", Instance: message.Instance, Request: message.Request}
			r.schedule(arrival+r.random.IntN(100), gone)
		}
	}
}

// scheduleUpdates drains and restarts caches, purges objects and groups, and lets
// discovery fail now and then.
func (r *adapterRecording) scheduleUpdates() {
	const interval = 500
	for at := interval; at < recordingMS; at += interval {
		cache := r.random.IntN(recordingCaches)
		r.scheduleList(at, policy.ScopeDiff, []adapterEndpoint{r.cache(cache, policy.EndpointDraining, 0)})
		const drainTime = 200
		gone := r.cache(cache, policy.EndpointRemoved, 0)
		r.scheduleList(at+drainTime, policy.ScopeDiff, []adapterEndpoint{gone})
		const restartTime = 300
		started := r.cache(cache, policy.EndpointActive, at+restartTime)
		r.scheduleList(at+restartTime, policy.ScopeDiff, []adapterEndpoint{started})

		age := float64(r.random.IntN(50))
		object := fmt.Sprint("object", r.random.IntN(recordingObjects))
		r.scheduleForAll(at, adapterMessage{Verb: "Outdated", Object: object, Age: age})
		r.scheduleForAll(at, adapterMessage{Verb: "Outdated", Group: r.random.Int64N(recordingGroups), Age: age})
		r.scheduleForAll(at, adapterMessage{Verb: "Discovery", Scope: policy.ScopeError})
		r.scheduleForAll(at, adapterMessage{Verb: "NeighbourSays"})
	}
}

// playNext gives the adapter all events of the next time as one batch, and reacts to its
// decisions.
func (r *adapterRecording) playNext() error {
	slices.SortStableFunc(r.scheduled, func(a, b scheduledMessage) int { return a.at - b.at })
	r.now = r.scheduled[0].at
	due := 0
	for due < len(r.scheduled) && r.scheduled[due].at == r.now {
		due++
	}
	batch := r.takeDue(due)
	line, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	r.lines.Write(line)
	reply, err := r.host.HandleBatch(line)
	if err != nil {
		return err
	}
	return r.react(reply)
}

// adapterBatch is one line of simadapter's input.
type adapterBatch struct {
	ClockMS float64           `json:"ClockMs"`
	Turn    int               `json:"turn"`
	Input   []*adapterMessage `json:"input"`
}

// takeDue takes the first events for a batch. An attempt ends once.
func (r *adapterRecording) takeDue(count int) *adapterBatch {
	r.turn++
	batch := &adapterBatch{ClockMS: float64(r.now), Turn: r.turn, Input: []*adapterMessage{}}
	for _, scheduled := range r.scheduled[:count] {
		message := scheduled.message
		if message.Verb == "Answer" {
			attempt := sentAttempt{message.Request, message.Attempt}
			if r.ended[attempt] {
				continue
			}
			r.ended[attempt] = true
		}
		batch.Input = append(batch.Input, message)
	}
	r.scheduled = slices.Clone(r.scheduled[count:])
	return batch
}

// react schedules what the adapter's decisions cause.
func (r *adapterRecording) react(reply []byte) error {
	var response struct {
		Decisions []adapterDecision `json:"decisions"`
	}
	if err := json.Unmarshal(reply, &response); err != nil {
		return err
	}
	for i := range response.Decisions {
		decision := &response.Decisions[i]
		r.decisions[decision.Verb]++
		switch decision.Verb {
		case "Get":
			r.answer(decision)
		case "StopAttempt":
			r.schedule(1, adapterMessage{
				Verb: "Answer", Instance: decision.Instance, Request: decision.Request, Attempt: decision.Attempt,
				Outcome: "ecanceled",
			})
		case "Defer":
			r.schedule(int(decision.Due)-r.now, adapterMessage{
				Verb: "Reminder", Instance: decision.Instance, Token: decision.Token,
			})
		case "Ping":
			r.schedule(1+r.random.IntN(20), adapterMessage{
				Verb: "Health", Instance: decision.Instance, Endpoint: decision.Endpoint, RTT: 5,
				Outcome: r.outcome(decision.Endpoint),
			})
		}
	}
	return nil
}

// answer schedules the end of an attempt, and for some the beginning of its response.
func (r *adapterRecording) answer(decision *adapterDecision) {
	number := r.sent[decision.Request]
	r.sent[decision.Request]++
	const slowShare = 0.05
	meanTime := 40.0
	if r.random.Float64() < slowShare {
		meanTime = 1000
	}
	took := 2 + int(r.random.ExpFloat64()*meanTime)
	outcome := r.outcome(decision.Endpoint)
	final := outcome == "done"
	if final && r.random.IntN(2) == 0 {
		r.schedule(took-1, adapterMessage{
			Verb: "Started", Instance: decision.Instance, Request: decision.Request, Endpoint: decision.Endpoint,
		})
	}
	r.schedule(took, adapterMessage{
		Verb:       "Answer",
		Instance:   decision.Instance,
		Request:    decision.Request,
		Endpoint:   decision.Endpoint,
		Attempt:    number,
		Outcome:    outcome,
		Reason:     policy.Reason(r.random.IntN(int(policy.ReasonOriginError) + 1)),
		Final:      final,
		RTT:        float64(took),
		OriginWait: float64(took) / 2,
		Load:       map[string]float64{"x1": r.random.Float64()},
	})
}

// outcome is most often a success. One cache after the other is out of reach for a while.
func (r *adapterRecording) outcome(endpoint string) string {
	const outageInterval, outageLength = 1000, 400
	failing := r.now / outageInterval % recordingCaches
	if endpoint == fmt.Sprint("cache", failing) && r.now%outageInterval < outageLength {
		return "econnrefused"
	}
	failures := []string{"err", "busy", "enoent", "etimedout", "econnrefused", "econnreset", "skipped"}
	const failureShare = 0.12
	if r.random.Float64() < failureShare {
		return failures[r.random.IntN(len(failures))]
	}
	return "done"
}

// runAdapter gives a program of simadapter a recording and returns its replies.
func runAdapter(t *testing.T, program string, recording []byte) []byte {
	t.Helper()
	command := exec.Command(program)
	command.Stdin = bytes.NewReader(recording)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	replies, err := command.Output()
	if err != nil || stderr.Len() > 0 {
		t.Fatalf("%s: %v, %s", program, err, stderr.String())
	}
	return replies
}

// Guards against decisions of the routers, or keys on the simulator's wire, that differ
// from those of an earlier version: the adapters of both get the same recorded events, and
// their replies must be the same byte for byte. Since decisionsCommit decides otherwise on
// endpoints in slow start, older versions are compared where no endpoint is in it.
func TestAdapterBesideEarlierAdapter(t *testing.T) {
	t.Parallel()
	present := filepath.Join(t.TempDir(), adapterCommand)
	run(t, "go", "build", "-buildvcs=false", "-o", present, "../"+adapterCommand)
	for _, reference := range []struct {
		earlier    string
		alwaysWarm bool
	}{
		{earlier: buildEarlier(t, decisionsCommit, adapterCommand)},
		{earlier: earlierAdapter(t), alwaysWarm: true},
	} {
		const recordings = 3
		for seed := range uint64(recordings) {
			recording := newAdapterRecording(seed + 1)
			recording.alwaysWarm = reference.alwaysWarm
			if err := recording.record(); err != nil {
				t.Fatal(err)
			}
			recording.checkVariety(t)
			compareReplies(t, runAdapter(t, reference.earlier, recording.lines.Bytes()), runAdapter(t, present, recording.lines.Bytes()))
		}
	}
}

// checkVariety checks that the recording has led to all kinds of decisions.
func (r *adapterRecording) checkVariety(t *testing.T) {
	t.Helper()
	t.Logf("%d batches, decisions %v", r.turn, r.decisions)
	for _, verb := range []string{"Get", "Defer", "RespondError", "OverloadReply", "StopAttempt", "Ping", "Subscribe", "JournalLine"} {
		if r.decisions[verb] == 0 {
			t.Errorf("no decision %s among %v", verb, slices.Sorted(maps.Keys(r.decisions)))
		}
	}
	if panics := r.decisions["Panic"]; panics > 0 {
		t.Errorf("%d panics", panics)
	}
}

// compareReplies fails the test at the first reply that differs.
func compareReplies(t *testing.T, earlier, present []byte) {
	t.Helper()
	if bytes.Equal(earlier, present) {
		return
	}
	earlierLines := bytes.Split(earlier, []byte("\n"))
	presentLines := bytes.Split(present, []byte("\n"))
	for i := range min(len(earlierLines), len(presentLines)) {
		if !bytes.Equal(earlierLines[i], presentLines[i]) {
			t.Fatalf("reply %d differs:\nearlier: %s\npresent: %s", i+1, earlierLines[i], presentLines[i])
		}
	}
	t.Fatalf("%d replies of the earlier program, %d of the present one", len(earlierLines), len(presentLines))
}
