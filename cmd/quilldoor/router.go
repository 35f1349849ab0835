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

// router wires the parts of one router process together. It hands each part what the
// others have to tell.
type router struct {
	log    *logrus.Entry
	config *startConfig
	load   loadConfig // for a reload
	policy policy.Settings
	limits *config.Limits
	ctx    context.Context // of the background work, while the router serves

	engine     *engine.Engine
	events     eventHandler // the engine
	upstream   *upstream.Pool
	downstream *downstream.Server
	buffers    *bufferpool.Pool
	wake       chan struct{} // the engine wants runBackground sooner than it last said

	watcher       *discovery.Watcher
	stopWatching  func()
	discoveryAddr string // that is watched
	listener      *net.TCPListener
	served        chan error // of downstream; nil: it accepts no clients

	agent              *upgradeagent.Agent // nil: no supervisor runs this process
	host               upgradeagent.Host   // what the agent controls: the router as a generation
	activity           *invariant.Recorder // for the supervisor; nil: there is none
	slowStartHoldUntil int64               // microseconds; warming endpoints get nothing before

	// What one process of a router owns at a time (exclusive.go). It changes only while
	// discovery is not watched.
	diskCache   atomic.Pointer[diskrunner.Cache] // nil: off
	gateway     *gateway.Gateway                 // nil: off
	gatewayKeys *gateway.Keys
	gatewayHost *gatewayHost
	membership  *transport.Agent // nil: off
	gossip      *gossipHandler   // nil: off
	stopWriters context.CancelFunc
	writers     sync.WaitGroup // of the metrics and status files
}

// eventHandler takes what the router hears of endpoints, attempts and purges. The engine
// is one; as an interface it can be wrapped by another that sees each event first.
type eventHandler interface {
	UpdateEndpoints(now int64, scope policy.UpdateScope, list []engine.Endpoint) (retired []*engine.Endpoint)
	Purge(now int64, object string, group, at int64)
	AttemptEnded(now int64, attempt *engine.Attempt, result engine.Result)
	HealthChecked(now int64, endpoint string, outcome policy.Outcome, rtt int64)
}

// routerConstructor makes a router, which reads its configuration again with load.
type routerConstructor func(config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error)

func clock() int64 { return time.Now().UnixMicro() }

// newRouter makes the parts that every process of a router has. It opens nothing.
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

// purgeRetention is how long a purge is remembered, in microseconds: until all caches have
// dropped older copies, and no response to an earlier request can arrive any more.
func (r *router) purgeRetention() int64 {
	return r.policy.Hierarchy.PurgeSettleTime + r.limits.MaxRequestTimeout.Microseconds()
}

func (r *router) wakeBackground() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *router) attemptEnded(attempt *engine.Attempt, result engine.Result) {
	r.events.AttemptEnded(clock(), attempt, result)
}
