// Package simfleet runs a fleet of routers that detect each other's failures on a virtual clock. Their detectors
// (package membership, or a baseline) exchange messages over a netsim.Network while routers are killed, started, paused
// and throttled. Tests, experiments and the emulator use it.
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
	// Tick handles the timers that are due. It returns the time at which it must be called next, the messages to send
	// and the changes of members' states.
	Tick(now int64) (next int64, out []membership.Outbound, changes []membership.Change)
	// Receive handles a message and returns the messages to send in response.
	Receive(now int64, source netip.AddrPort, msg *membership.Message) []membership.Outbound
	// State returns the state of a member.
	State(name string) membership.State
}

// PayloadHandler is a subsystem whose payloads the routers' membership nodes carry.
type PayloadHandler interface {
	// Digest returns the gossip digest that a router's node sends.
	Digest(host *Host) uint32
	// HandlePayload handles a payload that a router received and returns the payloads to send to its sender.
	HandlePayload(host *Host, payload membership.Payload) (replies [][]byte)
	// Tick is called after each tick of a router's detector.
	Tick(host *Host)
}

// Host is one router's machine and, while it runs, the router's process.
type Host struct {
	ID       int
	Name     string
	Detector Detector // nil: the process does not run

	SentBytes, ReceivedBytes, SentMessages int64

	processGeneration int // counts starts and kills; actions scheduled for an earlier process are dropped
	paused            bool
	deferred          []func() // run when the process is resumed
	throttledShare    float64  // share of its processor time that other processes use
}

// Fleet is a set of routers and their network, on a virtual clock.
type Fleet struct {
	Network     *netsim.Network
	Hosts       []*Host
	Now         int64
	NewDetector func(host *Host, now int64) Detector
	Payloads    PayloadHandler                             // nil: none
	OnChange    func(host *Host, change membership.Change) // called for each state change that a Tick returns; nil: none
	BeforeSend  func(host *Host, msg *membership.Message)  // called before each message is sent; nil: none

	byName       map[string]*Host
	events       eventQueue
	lastSequence int64
	random       *rand.Rand
}

// New creates a fleet of n routers that are not started yet. newDetector creates the detector of a router at its start.
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

// Seeds returns the first n routers as seeds, in the form of an operator's settings.
func Seeds(n int) (list []membership.Seed) {
	for i := range n {
		list = append(list, membership.Seed{Name: Name(i), Addr: Addr(i)})
	}
	return list
}

// Start starts the process of a router without stored state. It does nothing if the process runs.
func (f *Fleet) Start(i int) {
	host := f.Hosts[i]
	if host.Detector != nil {
		return
	}
	host.processGeneration++
	host.paused = false
	host.deferred = nil
	host.Detector = f.NewDetector(host, f.Now)
	f.tick(host, host.processGeneration)
}

// Kill ends the process of a router without warning.
func (f *Fleet) Kill(i int) {
	host := f.Hosts[i]
	host.processGeneration++
	host.paused = false
	host.deferred = nil
	host.Detector = nil
}

// Pause suspends the process of a router until Resume. Messages and ticks that are due meanwhile are deferred.
func (f *Fleet) Pause(i int) { f.Hosts[i].paused = true }

// Resume resumes a paused process and runs its deferred actions.
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

// Throttle lets other processes use a share of a router's processor time; 0: none.
func (f *Fleet) Throttle(i int, share float64) { f.Hosts[i].throttledShare = share }

// throttleDelay draws the delay with which a throttled router runs an action that is due now.
func (f *Fleet) throttleDelay(host *Host) int64 {
	const timeSlice = 60_000 // microseconds that another process may run at once
	if host.throttledShare == 0 || f.random.Float64() >= host.throttledShare {
		return 0
	}
	return f.random.Int64N(int64(timeSlice * (1 + 4*host.throttledShare)))
}

// whenRunning runs an action in a router's present process once the process gets processor time. The action is dropped
// if the process has ended by then.
func (f *Fleet) whenRunning(host *Host, action func()) {
	const maxDeferred = 4096 // as many datagrams as a socket's buffer holds
	generation := host.processGeneration
	guarded := func() {
		if host.processGeneration == generation && host.Detector != nil {
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

// tick calls the detector of a process now and at each time that the detector returns, until the process ends.
func (f *Fleet) tick(host *Host, generation int) {
	if host.processGeneration != generation || host.Detector == nil {
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
		f.Schedule(next, func() { f.tick(host, generation) })
	})
}

// Converged reports whether every running router considers exactly the running routers alive. If not, difference
// describes one deviation.
func (f *Fleet) Converged() (converged bool, difference string) {
	for _, host := range f.Hosts {
		if host.Detector == nil {
			continue
		}
		for _, other := range f.Hosts {
			state := host.Detector.State(other.Name)
			if (state == membership.StateAlive) != (other.Detector != nil) {
				return false, fmt.Sprintf("%s considers %s %v", host.Name, other.Name, state)
			}
		}
	}
	return true, ""
}
