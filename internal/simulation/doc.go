// Package simulation is a discrete-event model of the environment of routers: cache servers, parent caches and the
// origin, the links between them, the discovery service, clients and faults.
//
// It does no I/O, starts no goroutine and has no clock of its own. The caller advances the clock by Simulation.Step
// and reports the routers' actions by Simulation.SendAttempt, Simulation.Cancel and Simulation.Answered; the
// simulation reports to the routers through Driver. Every random draw comes from generators that New seeds, so that a
// scenario and a seed determine the run. The order of draws and of floating point operations is therefore part of the
// behaviour.
//
// The simulation owns the state of the fleet and of the clients. The caller owns the routers' state.
//
// Times are whole microseconds from the start of the run; sizes are kilobytes. docs/emulator.md describes the model
// and its limits.
package simulation
