package main

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/upstream"
)

// lifecycleStage is a moment in a router's life at which a test can make it misbehave.
type lifecycleStage int

const (
	stageStart     lifecycleStage = iota // before the parts are made
	stageReady                           // the supervisor asks whether it is ready
	stageServing                         // it has begun to serve
	stageHeartbeat                       // a heartbeat to the supervisor is due
)

// faultInjector lets tests of upgrades and rollouts run a router that misbehaves.
type faultInjector interface {
	at(stage lifecycleStage, r *router)
	// hearEndpoints may change what discovery tells.
	hearEndpoints(list []engine.Endpoint)
	// ignoresPurges tells whether purges have no effect.
	ignoresPurges() bool
	// wrapResults may delay the results of attempts.
	wrapResults(handle upstream.ResultFunc) upstream.ResultFunc
}

// testFaults is replaced by tests only.
var testFaults faultInjector = noFaults{}

type noFaults struct{}

func (noFaults) at(lifecycleStage, *router)      {}
func (noFaults) hearEndpoints([]engine.Endpoint) {}
func (noFaults) ignoresPurges() bool             { return false }

func (noFaults) wrapResults(handle upstream.ResultFunc) upstream.ResultFunc { return handle }
