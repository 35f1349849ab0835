package main

import (
	"context"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/clock"
	"quilldoor/internal/config"
	"quilldoor/internal/discovery"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/downstream"
	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/invariant"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgradeagent"
	"quilldoor/internal/upstream"
)

// router connects the components of one router process, and passes each one the events of the
// others that concern it.
type router struct {
	log    *logrus.Entry
	config *startConfig
	load   loadConfig // for a reload
	policy policy.Settings
	limits *config.Limits
	ctx    context.Context // of the background work, while the router serves

	engine     *engine.Engine
	events     eventHandler // the engine, or a wrapper of it
	upstream   *upstream.Pool
	downstream *downstream.Server
	buffers    *bufferpool.Pool
	wake       chan struct{} // the engine is due before the time that runBackground waits for

	watcher       *discovery.Watcher
	stopWatching  func()
	discoveryAddr string // of the watched service
	purges        purgeLog
	// overdueSince is since when events may be unknown, as DiscoveryOverdue received it. It changes
	// only while discovery is watched.
	overdueSince time.Time
	listener     *net.TCPListener
	served       chan error // result of downstream's accept loop; nil: it doesn't run

	agent              *upgradeagent.Agent // nil: no supervisor runs this process
	host               upgradeagent.Host   // the router as the agent controls it; nil without an agent
	activity           *invariant.Recorder // for the supervisor; nil: no supervisor runs this process
	slowStartHoldUntil int64               // Unix microseconds; until then no attempts go to endpoints in slow start

	// Resources that only one process of a router may own at a time (exclusive.go). They change
	// only while discovery is not watched.
	diskCache   atomic.Pointer[diskrunner.Cache] // nil: off
	gateway     *gateway.Gateway                 // nil: off
	gatewayKeys *gateway.Keys
	gatewayHost *gatewayHost
	membership  *transport.Agent // nil: off
	gossip      *gossipHandler   // nil: off
	stopWriters context.CancelFunc
	writers     sync.WaitGroup // of the metrics and status files
}

// eventHandler receives events about endpoints, attempts and purges. The engine implements it.
// It is an interface so that a wrapper of the engine can intercept events.
type eventHandler interface {
	UpdateEndpoints(now int64, scope policy.UpdateScope, list []engine.Endpoint) (retired []*engine.Endpoint)
	Purge(now int64, object string, group, at int64)
	AttemptEnded(now int64, attempt *engine.Attempt, result engine.Result)
	HealthChecked(now int64, endpoint string, outcome policy.Outcome, rtt int64)
}

// routerConstructor constructs a router, which reloads its configuration with load.
type routerConstructor func(config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error)

// newRouter constructs the components that every process of a router has. It opens no files
// or sockets of its own.
func newRouter(config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error) {
	runtime.GOMAXPROCS(max(int(config.Cores), 1))
	debug.SetMemoryLimit(config.Limits.MemoryBytes)
	r := &router{
		log:           logger.WithField("router", config.Name),
		config:        config,
		load:          load,
		policy:        config.Settings.PolicySettings(),
		limits:        config.Limits,
		wake:          make(chan struct{}, 1),
		discoveryAddr: config.DiscoveryAddr,
	}
	var err error
	if r.agent, err = upgradeagent.Inherit(os.Getenv); err != nil {
		return nil, err
	}
	r.purges.retention = r.purgeRetention()
	r.engine = engine.New(&r.policy, config.Seed, r.wakeBackground)
	r.events = r.engine
	r.buffers = bufferpool.NewPool(config.Limits.MaxBufferedBytes)
	r.upstream = upstream.New(config.Limits, r.buffers, r.attemptEnded, r.log)
	r.downstream = downstream.New(r.engine, r.upstream, r.buffers, config.Limits)
	r.downstream.SetClientRate(config.ClientBytesPerSecond)
	if r.agent != nil {
		r.activity = invariant.NewRecorder()
		r.downstream.SetRecorder(r.activity)
		r.host = &generation{r}
	}
	r.watcher = discovery.New(config.Limits, r)
	return r, nil
}

// purgeRetention returns how long a purge is kept, in microseconds: until all caches have
// dropped older copies and no response to an earlier request can arrive any more.
func (r *router) purgeRetention() int64 {
	return r.policy.Hierarchy.PurgeSettleTime + r.limits.MaxRequestTimeout.Microseconds()
}

// wakeBackground makes runBackground run the engine without waiting for its next timer.
func (r *router) wakeBackground() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *router) attemptEnded(attempt *engine.Attempt, result engine.Result) {
	r.events.AttemptEnded(clock.Now(), attempt, result)
}
