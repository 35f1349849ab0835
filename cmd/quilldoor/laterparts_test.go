package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/clock"
	"quilldoor/internal/config"
	"quilldoor/internal/discovery"
	"quilldoor/internal/gateway"
	"quilldoor/internal/gossip"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership/transport"
)

// purgedObject is the object of the purges of these tests.
const purgedObject = "purged"

// newTestGeneration returns a process of a supervised router with a gateway and a membership.
// Its discovery can't be reached. Nothing is open yet.
func newTestGeneration(t *testing.T) *generation {
	t.Helper()
	dir := t.TempDir()
	if err := gateway.MakeKeys(dir, []string{"t"}, time.Hour); err != nil {
		t.Fatal(err)
	}
	memberKey := filepath.Join(dir, "members.key")
	writeFile(t, memberKey, []byte("a key of sixteen bytes"))
	operatorFile := filepath.Join(dir, "operator.yaml")
	writeFile(t, operatorFile, fmt.Appendf(nil, "gateway:\n  name: t\n  site: north\n  listen: %s\n"+
		"  cert: %s\n  key: %s\n  ca: %s\n  peers: [{name: far, site: south, addr: \"127.0.0.1:1\"}]\n"+
		"members:\n  name: t\n  listen: %s\n  key_file: %s\n  peers: [{name: other, addr: \"127.0.0.1:1\"}]\n",
		reserveAddress(t), filepath.Join(dir, "t.pem"), filepath.Join(dir, "t.key"), filepath.Join(dir, "ca.pem"),
		reserveAddress(t), memberKey))
	configFile := filepath.Join(dir, "config.json")
	edit := strings.NewReplacer(`"StreamsPerConn":32`, `"StreamsPerConn":32,"PeerMessages":true`,
		`"NotesGiven":"all"`, `"NotesGiven":"all","ClearedWithinMs":6000,"PurgeGraceMs":300`)
	nowhere := "127.0.0.1:1"
	writeFile(t, configFile, []byte(edit.Replace(testRouterConfig(reserveAddress(t), nowhere, nowhere))))
	flags := &flags{overrides: config.Overrides{File: configFile}, operatorFile: operatorFile}
	start, err := flags.load()
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	router, err := newRouter(start, log, flags.load)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	router.ctx = ctx
	if router.listener, err = router.listen(); err != nil {
		t.Fatal(err)
	}
	router.watcher.Apply(start.initialUpdate)
	router.watchDiscovery()
	t.Cleanup(func() {
		router.closeExclusive()
		router.listener.Close()
		stop()
		router.stopWatching()
	})
	return &generation{router}
}

// hearPurge applies an update of discovery with the purge of purgedObject.
func (g *generation) hearPurge(t *testing.T, revision int64, at int64) {
	t.Helper()
	g.stopWatching()
	defer g.watchDiscovery()
	update, err := discovery.Parse(fmt.Appendf(nil, `{"rev":%d,"notices":[{"rev":%d,"flush":{"asset":%q,"ms":%d}}]}`,
		revision, revision, purgedObject, at/microsPerMilli))
	if err != nil {
		t.Fatal(err)
	}
	g.watcher.Apply(update)
}

// checkKnowsPurge checks that decisions consider the purge, that the gateway sends it along, and
// that gossip tells others of it.
func (g *generation) checkKnowsPurge(t *testing.T, at int64) {
	t.Helper()
	if known := g.engine.Snapshot().Purges; len(known) != 1 || known[0].Object != purgedObject || known[0].At != at {
		t.Errorf("the engine knows the purges %v, want the one made at %d", known, at)
	}
	const group = 1
	if list := g.gatewayHost.Purges(purgedObject, group); len(list) != 1 || list[0].At != at {
		t.Errorf("the gateway knows the purges %v, want the one made at %d", list, at)
	}
	request := gossip.New(gossip.Settings{}).NewRequest()
	g.gossip.mu.Lock()
	defer g.gossip.mu.Unlock()
	for _, response := range g.gossip.replica.Respond(&request, transport.MaxPayloadBytes) {
		for _, purge := range response.Purges {
			if purge.Object == purgedObject && purge.At == at {
				return
			}
		}
	}
	t.Error("gossip doesn't know the purge")
}

// Guards against purged copies from other sites and missed purges at other routers, because a
// process heard of the purge before it opened its gateway and its membership: at a cold start
// under a supervisor, by the state of another process, and while another process served.
func TestPartsThatOpenLaterKnowEarlierPurges(t *testing.T) {
	t.Parallel()
	const revision = 2 // the first event is the endpoint list
	cases := map[string]func(t *testing.T, g *generation, purgedAt int64) error{
		"cold start": func(t *testing.T, g *generation, purgedAt int64) error {
			g.hearPurge(t, revision, purgedAt)
			return g.Acquire(nil, false, false)
		},
		"state of another process": func(_ *testing.T, g *generation, purgedAt int64) error {
			state := &handoff.State{Revision: revision, Purges: []handoff.Purge{{Object: purgedObject, At: purgedAt}}}
			return g.Acquire(state, false, false)
		},
		"while another process served": func(t *testing.T, g *generation, purgedAt int64) error {
			if err := g.Acquire(nil, false, false); err != nil {
				return err
			}
			state := g.Release()
			g.hearPurge(t, revision, purgedAt)
			return g.Acquire(state, true, false)
		},
		"before it was released": func(t *testing.T, g *generation, purgedAt int64) error {
			if err := g.Acquire(nil, false, false); err != nil {
				return err
			}
			g.hearPurge(t, revision, purgedAt)
			return g.Acquire(g.Release(), true, false)
		},
	}
	for name, open := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGeneration(t)
			purgedAt := clock.System() / microsPerMilli * microsPerMilli // older purges have reached all caches
			if err := open(t, g, purgedAt); err != nil {
				t.Fatal(err)
			}
			g.checkKnowsPurge(t, purgedAt)
		})
	}
}
