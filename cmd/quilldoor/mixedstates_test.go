package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"reflect"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgradeagent"
)

// generationTest stands in for the supervisor of a router whose generations run several
// programs in turn.
type generationTest struct {
	*killedRouter
	listener   *os.File
	folder     string // of the supervisor
	generation int    // the last one
}

// generationProcess is a process of a generation.
type generationProcess struct {
	*exec.Cmd
	supervisor *handoff.Conn
	log        bytes.Buffer
}

func newGenerationTest(t *testing.T) *generationTest {
	t.Helper()
	test := &generationTest{killedRouter: newKilledRouter(t), folder: t.TempDir()}
	listener, err := net.Listen("tcp", test.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if test.listener, err = listener.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { test.listener.Close() })
	test.platform.restartDiscovery(test.pool)
	return test
}

// startGeneration starts a program, which waits for the command to serve.
func (g *generationTest) startGeneration(t *testing.T, program string) *generationProcess {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	own, err := handoff.FromFile(os.NewFile(uintptr(pair[0]), "generation"))
	if err != nil {
		t.Fatal(err)
	}
	inherited := os.NewFile(uintptr(pair[1]), "supervisor")
	defer inherited.Close()
	g.generation++
	process := &generationProcess{
		Cmd:        exec.Command(program, "serve", "--config", g.config, "--operator", g.operator),
		supervisor: own,
	}
	process.ExtraFiles = []*os.File{inherited, g.listener}
	process.Stderr = &process.log
	process.Env = append(os.Environ(), mainVariable+"=1", "LB_CONFIG=", "LB_NAME=", "LB_LISTEN=", "LB_OPERATOR=",
		upgradeagent.EnvFolder+"="+g.folder,
		upgradeagent.EnvGeneration+"="+fmt.Sprint(g.generation),
		upgradeagent.EnvSockets+"="+socketClients)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Process.Kill()
		own.Close()
	})
	return process
}

// command sends a message and waits for the kind of message that answers it.
func (p *generationProcess) command(t *testing.T, message *handoff.Message, answer handoff.Kind) *handoff.Message {
	t.Helper()
	if err := p.supervisor.Send(message); err != nil {
		t.Fatal(err)
	}
	const timeout = 10 * time.Second
	timer := time.AfterFunc(timeout, func() { p.supervisor.Close() })
	defer timer.Stop()
	for {
		received, err := p.supervisor.Receive()
		if err != nil {
			t.Fatalf("%s: instead of %v: %v", p.Path, answer, err)
		}
		if received.Kind == answer {
			return received
		}
	}
}

// release has a generation hand its state over, and ends it.
func (p *generationProcess) release(t *testing.T) *handoff.State {
	t.Helper()
	released := p.command(t, &handoff.Message{Kind: handoff.KindQuiesce}, handoff.KindReleased)
	if err := p.supervisor.Send(&handoff.Message{Kind: handoff.KindEnd}); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		t.Errorf("%s: %v", p.Path, err)
	}
	for line := range strings.Lines(p.log.String()) {
		if strings.Contains(line, "level=error") {
			t.Errorf("%s has logged: %s", p.Path, line)
		}
	}
	if released.State == nil || released.State.Learned == nil {
		t.Fatalf("%s has released %+v", p.Path, released.State)
	}
	return released.State
}

// work lets a generation learn something: it answers reads and writes, and hears of purges.
func (g *generationTest) work(t *testing.T) {
	t.Helper()
	client := dial(t, g.addr)
	for _, part := range diskParts("object") {
		client.sendRequest("GET", "/rpc/page/"+part.object+"/n-"+part.part, "", "")
		client.expectStatus(t, "200")
		client.sendRequest("PUT", "/rpc/sign/"+part.object, "", "name")
		client.expectStatus(t, "200")
	}
	g.platform.purge([]string{"object1"}, 0, true)
	g.platform.purge([]string{"object2"}, collectionOf("object2"), true)
}

// Guards against state that a generation of another version reads only in part: what the
// first program has learned, the second one takes over, and hands over without a request
// in between; so does the first one again. All must be what it was.
func TestStateHandedOverBetweenPrograms(t *testing.T) {
	for _, programs := range programPairs(t) {
		t.Run(programs.name, func(t *testing.T) {
			test := newGenerationTest(t)
			var before *handoff.State
			for _, program := range []string{programs.first, programs.other, programs.first} {
				process := test.startGeneration(t, program)
				process.command(t, &handoff.Message{Kind: handoff.KindServe, State: before}, handoff.KindAccepting)
				process.command(t, &handoff.Message{Kind: handoff.KindSettle}, handoff.KindSettled)
				if before == nil {
					test.work(t)
				}
				state := process.release(t)
				if before == nil {
					checkLearned(t, state.Learned)
					addHistory(state.Learned)
				} else {
					checkSameState(t, before, state)
				}
				before = state
			}
		})
	}
}

// checkLearned checks that the work has left something in the state that can get lost.
func checkLearned(t *testing.T, learned *policy.Snapshot) {
	t.Helper()
	for name, amount := range map[string]int{
		"samples of the sketch": learned.SketchSample,
		"endpoints":             len(learned.Endpoints),
		"transfer times":        len(learned.TransferTimes),
		"samples of fills":      len(learned.FillFailures),
		"priorities":            len(learned.Priorities),
		"purges":                len(learned.Purges),
	} {
		if amount == 0 {
			t.Errorf("no %s in %+v", name, learned)
		}
	}
	for _, endpoint := range learned.Endpoints {
		limiter := &endpoint.Limiters[0]
		if len(endpoint.SourceSamples) == 0 && (len(endpoint.CachedObjects) == 0 || len(limiter.Samples) == 0 || limiter.Limit == 0) {
			t.Errorf("nothing learned of %+v", endpoint)
		}
	}
}

// addHistory adds what the short work can't teach: ejections, work sent in slow start,
// reduced limits and the load of a link.
func addHistory(learned *policy.Snapshot) {
	now := time.Now().UnixMicro()
	for i := range learned.Endpoints {
		endpoint := &learned.Endpoints[i]
		endpoint.DueAt = now + time.Minute.Microseconds()
		endpoint.Ejections = 2
		endpoint.LinkUse = 0.25
		endpoint.ReservedAt = []int64{now, now + 1}
		endpoint.ReservedWork = []int64{1000, 2000}
		endpoint.ReservedVariance = []float64{30, 40}
		reduceLimits(endpoint.Limiters[:], now)
	}
	reduceLimits(learned.BypassLimiters[:], now)
}

// reduceLimits notes that limits were reduced. What has no limit yet is not taken over.
func reduceLimits(limiters []policy.LimiterSnapshot, now int64) {
	for i := range limiters {
		if limiters[i].Limit > 0 {
			limiters[i].ReducedAt = now
		}
	}
}

// checkSameState compares each field of two states.
func checkSameState(t *testing.T, before, after *handoff.State) {
	t.Helper()
	compareFields(t, reflect.ValueOf(*before.Learned), reflect.ValueOf(*after.Learned))
	if before.Revision != after.Revision {
		t.Errorf("revision %d, was %d", after.Revision, before.Revision)
	}
	if !reflect.DeepEqual(before.Endpoints, after.Endpoints) {
		t.Errorf("endpoints %+v, were %+v", after.Endpoints, before.Endpoints)
	}
}

// compareFields compares the fields of two values of one struct type.
func compareFields(t *testing.T, before, after reflect.Value) {
	t.Helper()
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		was, is := before.Field(i).Interface(), after.Field(i).Interface()
		if !reflect.DeepEqual(was, is) {
			t.Errorf("%s: %.600s, was %.600s", name, fmt.Sprint(is), fmt.Sprint(was))
		}
	}
}
