// Package emulator plays a scenario against routers and checks what they do.
//
// RunVirtual plays it on a virtual clock: the routers are policy engines in this process, and
// the same scenario and seed give the same result on every machine. RunOnSockets plays it in
// real time: the routers are processes, and the emulator listens on loopback as their
// discovery service, their cache servers, their clients, and the network between sites.
// VirtualRollout adds a rollout to a run on the virtual clock, and MeasureFailureDetection
// measures how soon router processes find out that one of them has died.
//
// The simulation package owns the state of the fleet (servers, load, faults, network), the
// checker package the rules that routers are judged by. This package owns the routers, and
// carries events between them and the simulation. Times without a type are microseconds since
// the run began, unless a comment says otherwise.
package emulator
