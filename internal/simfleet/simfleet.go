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
	Digest(h *Host) uint32
	HandlePayload(h *Host, p membership.Payload) (replies [][]byte)
	Tick(h *Host)
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
	NewDetector func(h *Host, now int64) Detector
	Payloads    PayloadHandler                         // nil: none
	OnChange    func(h *Host, c membership.Change)     // called for each change of a view; nil: none
	BeforeSend  func(h *Host, msg *membership.Message) // called for each message; nil: none

	byName  map[string]*Host
	events  eventQueue
	lastSeq int64
	random  *rand.Rand
}

// New makes a fleet of n routers that don't run yet. newDetector makes the detector of one that starts.
func New(n int, seed uint64, network *netsim.Network, newDetector func(h *Host, now int64) Detector) *Fleet {
	f := &Fleet{
		Network:     network,
		NewDetector: newDetector,
		byName:      map[string]*Host{},
		random:      rand.New(rand.NewPCG(seed, 1)),
	}
	for i := range n {
		h := &Host{ID: i, Name: Name(i)}
		f.Hosts = append(f.Hosts, h)
		f.byName[h.Name] = h
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
	h := f.Hosts[i]
	if h.Detector != nil {
		return
	}
	h.process++
	h.paused = false
	h.deferred = nil
	h.Detector = f.NewDetector(h, f.Now)
	f.tick(h, h.process)
}

// Kill ends the process of a router without warning.
func (f *Fleet) Kill(i int) {
	h := f.Hosts[i]
	h.process++
	h.paused = false
	h.deferred = nil
	h.Detector = nil
}

// Pause stops the process of a router for a while; what arrives waits for it.
func (f *Fleet) Pause(i int) { f.Hosts[i].paused = true }

// Resume lets a paused process go on, with what has waited for it.
func (f *Fleet) Resume(i int) {
	h := f.Hosts[i]
	if !h.paused {
		return
	}
	h.paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// Throttle takes a share of a router's processor time away; 0: it has all again.
func (f *Fleet) Throttle(i int, share float64) { f.Hosts[i].throttled = share }

// throttleDelay draws how long a throttled router takes to get to something that is due now.
func (f *Fleet) throttleDelay(h *Host) int64 {
	const timeSlice = 60_000 // microseconds that others may have at once
	if h.throttled == 0 || f.random.Float64() >= h.throttled {
		return 0
	}
	return f.random.Int64N(int64(timeSlice * (1 + 4*h.throttled)))
}

// whenRunning does something in a router's process when it gets processor time, unless that process has ended by then.
func (f *Fleet) whenRunning(h *Host, do func()) {
	const maxDeferred = 4096 // as many as a socket's buffer holds
	process := h.process
	guarded := func() {
		if h.process == process && h.Detector != nil {
			do()
		}
	}
	if h.paused {
		if len(h.deferred) < maxDeferred {
			h.deferred = append(h.deferred, guarded)
		}
		return
	}
	delay := f.throttleDelay(h)
	if delay == 0 {
		guarded()
		return
	}
	f.Schedule(f.Now+delay, func() {
		if h.paused {
			h.deferred = append(h.deferred, guarded)
			return
		}
		guarded()
	})
}

// tick calls a process's detector now and whenever it asks to be called.
func (f *Fleet) tick(h *Host, process int) {
	if h.process != process || h.Detector == nil {
		return
	}
	f.whenRunning(h, func() {
		next, out, changes := h.Detector.Tick(f.Now)
		if f.OnChange != nil {
			for _, c := range changes {
				f.OnChange(h, c)
			}
		}
		f.send(h, out)
		if f.Payloads != nil {
			f.Payloads.Tick(h)
		}
		f.Schedule(next, func() { f.tick(h, process) })
	})
}

// Converged reports whether all running routers hold just the running ones alive, and names one that does not.
func (f *Fleet) Converged() (converged bool, difference string) {
	for _, h := range f.Hosts {
		if h.Detector == nil {
			continue
		}
		for _, other := range f.Hosts {
			s := h.Detector.State(other.Name)
			if (s == membership.StateAlive) != (other.Detector != nil) {
				return false, fmt.Sprintf("%s holds %s %v", h.Name, other.Name, s)
			}
		}
	}
	return true, ""
}
