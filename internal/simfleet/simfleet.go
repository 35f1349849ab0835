// Package simfleet runs a fleet of routers that detect each other's failures, on a virtual clock: their detectors
// (package membership, or a baseline) exchange messages over a netsim.Network, while routers are killed, started,
// paused and throttled. It serves tests, experiments and the emulator.
//
// Times are microseconds of the virtual clock.
package simfleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
)

// Detector is a router's failure detector.
type Detector interface {
	// Tick does what has fallen due and returns when it wants to be called next.
	Tick(now int64) (next int64, out []membership.Outbound, changes []membership.Change)
	// Receive handles a message and returns the messages to send for it.
	Receive(now int64, source netip.AddrPort, msg *membership.Message) []membership.Outbound
	// State returns the state of a member.
	State(name string) membership.State
}

// PayloadHandler is the subsystem that exchanges payloads between routers beside their membership.
type PayloadHandler interface {
	Digest(host *Host) uint32
	HandlePayload(host *Host, payload membership.Payload) (replies [][]byte)
	Tick(host *Host)
}

// Host is one router's machine, with its process while that runs.
type Host struct {
	ID       int
	Name     string
	Detector Detector // nil: the process does not run

	SentBytes, ReceivedBytes, SentMessages int64

	process   int // counts starts and kills, to tell what was meant for an earlier process
	paused    bool
	deferred  []func() // until the process is resumed
	throttled float64  // share of its processor time that others take
}

// Fleet is the routers and their network.
type Fleet struct {
	Network     *netsim.Network
	Hosts       []*Host
	Now         int64
	NewDetector func(host *Host, now int64) Detector
	Payloads    PayloadHandler                             // nil: none
	OnChange    func(host *Host, change membership.Change) // called for each change of a view; nil: none
	BeforeSend  func(host *Host, msg *membership.Message)  // called for each message; nil: none

	byName  map[string]*Host
	events  eventQueue
	lastSeq int64
	random  *rand.Rand
}

// New makes a fleet of n routers that don't run yet. newDetector makes the detector of one that starts.
func New(n int, seed uint64, network *netsim.Network, newDetector func(host *Host, now int64) Detector) *Fleet {
	f := &Fleet{
		Network:     network,
		NewDetector: newDetector,
		byName:      map[string]*Host{},
		random:      rand.New(rand.NewPCG(seed, 1)),
	}
	for i := range n {
		host := &Host{ID: i, Name: Name(i)}
		f.Hosts = append(f.Hosts, host)
		f.byName[host.Name] = host
	}
	return f
}

// Name returns the name of router i, from 0.
func Name(i int) string { return fmt.Sprint("n", i+1) }

// Addr returns the address of router i.
func Addr(i int) netip.AddrPort {
	const port, hostsPerNet = 7700, 200
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(1 + i/hostsPerNet), byte(1 + i%hostsPerNet)}), port)
}

// Seeds returns the first n routers, as an operator's file would name them.
func Seeds(n int) (list []membership.Seed) {
	for i := range n {
		list = append(list, membership.Seed{Name: Name(i), Addr: Addr(i)})
	}
	return list
}

// Start starts the process of a router without stored state; nothing where it runs.
func (f *Fleet) Start(i int) {
	host := f.Hosts[i]
	if host.Detector != nil {
		return
	}
	host.process++
	host.paused = false
	host.deferred = nil
	host.Detector = f.NewDetector(host, f.Now)
	f.tick(host, host.process)
}

// Kill ends the process of a router without warning.
func (f *Fleet) Kill(i int) {
	host := f.Hosts[i]
	host.process++
	host.paused = false
	host.deferred = nil
	host.Detector = nil
}

// Pause stops the process of a router for a while; what arrives waits for it.
func (f *Fleet) Pause(i int) { f.Hosts[i].paused = true }

// Resume lets a paused process go on, with what has waited for it.
func (f *Fleet) Resume(i int) {
	host := f.Hosts[i]
	if !host.paused {
		return
	}
	host.paused = false
	deferred := host.deferred
	host.deferred = nil
	for _, action := range deferred {
		action()
	}
}

// Throttle takes a share of a router's processor time away; 0: it has all again.
func (f *Fleet) Throttle(i int, share float64) { f.Hosts[i].throttled = share }

// throttleDelay draws how long a throttled router takes to get to something that is due now.
func (f *Fleet) throttleDelay(host *Host) int64 {
	const timeSlice = 60_000 // microseconds that others may have at once
	if host.throttled == 0 || f.random.Float64() >= host.throttled {
		return 0
	}
	return f.random.Int64N(int64(timeSlice * (1 + 4*host.throttled)))
}

// whenRunning runs an action in a router's process when it gets processor time, unless that process has ended by then.
func (f *Fleet) whenRunning(host *Host, action func()) {
	const maxDeferred = 4096 // as many as a socket's buffer holds
	process := host.process
	guarded := func() {
		if host.process == process && host.Detector != nil {
			action()
		}
	}
	if host.paused {
		if len(host.deferred) < maxDeferred {
			host.deferred = append(host.deferred, guarded)
		}
		return
	}
	delay := f.throttleDelay(host)
	if delay == 0 {
		guarded()
		return
	}
	f.Schedule(f.Now+delay, func() {
		if host.paused {
			host.deferred = append(host.deferred, guarded)
			return
		}
		guarded()
	})
}

// tick calls a process's detector now and whenever it asks to be called.
func (f *Fleet) tick(host *Host, process int) {
	if host.process != process || host.Detector == nil {
		return
	}
	f.whenRunning(host, func() {
		next, out, changes := host.Detector.Tick(f.Now)
		if f.OnChange != nil {
			for _, change := range changes {
				f.OnChange(host, change)
			}
		}
		f.send(host, out)
		if f.Payloads != nil {
			f.Payloads.Tick(host)
		}
		f.Schedule(next, func() { f.tick(host, process) })
	})
}

// Converged reports whether all running routers hold just the running ones alive, and names one that does not.
func (f *Fleet) Converged() (converged bool, difference string) {
	for _, host := range f.Hosts {
		if host.Detector == nil {
			continue
		}
		for _, other := range f.Hosts {
			state := host.Detector.State(other.Name)
			if (state == membership.StateAlive) != (other.Detector != nil) {
				return false, fmt.Sprintf("%s holds %s %v", host.Name, other.Name, state)
			}
		}
	}
	return true, ""
}
