// Package emulator plays a scenario against routers and checks their behaviour.
//
// RunVirtual plays it on a virtual clock: the routers are policy engines in this process, and
// the same scenario and seed give the same result on every machine. RunOnSockets plays it in
// real time on loopback: the routers are processes, and the emulator implements their discovery
// service, their cache servers, their clients, and the network between sites. VirtualRollout
// adds a rollout to a run on the virtual clock. MeasureFailureDetection measures how long router
// processes take to detect the death of one of them.
//
// The simulation package owns the state of the fleet (servers, load, faults, network); the
// checker package owns the rules that routers are checked against. This package owns the
// routers, and passes events between them and the simulation. Integer times are microseconds
// since the run began, unless a comment says otherwise.
package emulator
