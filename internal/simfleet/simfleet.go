// Package simfleet plays a fleet of routers that know each other on a virtual clock:
// their knowledge (package members, or a baseline) on ways that lose, delay and
// are cut, with routers that are killed, started, stopped and starved. It is for
// tests, experiments and the emulator; figures from it are simulated.
package simfleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
)

// Detector is a router's knowledge of the others.
type Detector interface {
	Tick(now int64) (next int64, out []membership.Outbound, news []membership.Change)
	Receive(now int64, via netip.AddrPort, w *membership.Message) []membership.Outbound
	State(name string) membership.State
}

// overhead of a datagram: the form's version and proof; not those of IP and UDP.
const overhead = 17

// Host is one router's process, or its machine while it is dead.
type Host struct {
	ID       int
	Name     string
	Detector Detector // nil: dead
	stopped  bool
	starved  float64 // share of its time that others take
	held     []func()
	life     int
	next     int64

	SentBytes, ReceivedBytes, SentMessages int64
}

// PayloadHandler is what routers say to each other beside what they know of each other.
type PayloadHandler interface {
	Digest(h *Host) uint32
	HandlePayload(h *Host, l membership.Payload) (back [][]byte)
	Tick(h *Host)
}

// Fleet is the routers and their ways.
type Fleet struct {
	Network     *netsim.Network
	Hosts       []*Host
	Now         int64
	OnChange    func(h *Host, c membership.Change)   // of views, as they change
	BeforeSend  func(h *Host, w *membership.Message) // before it is sent; for tests
	NewDetector func(h *Host, now int64) Detector
	Payloads    PayloadHandler // of other subsystems; nil: none

	byName map[string]*Host
	events eventHeap
	seq    int64
	dice   *rand.Rand
}

// New makes a fleet of n dead routers. make starts one's knowledge.
func New(n int, seed uint64, net *netsim.Network, make func(h *Host, now int64) Detector) *Fleet {
	f := &Fleet{Network: net, NewDetector: make, byName: map[string]*Host{}, dice: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		h := &Host{ID: i, Name: Name(i)}
		f.Hosts = append(f.Hosts, h)
		f.byName[h.Name] = h
	}
	return f
}

// Name of a router, from 0.
func Name(i int) string { return fmt.Sprint("n", i+1) }

// Addr of a router, as the others hold it.
func Addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(1 + i/200), byte(1 + i%200)}), 7700)
}

// Seeds are the first routers, as a file would name them.
func Seeds(n int) (list []membership.Seed) {
	for i := range n {
		list = append(list, membership.Seed{Name: Name(i), Addr: Addr(i)})
	}
	return list
}

type event struct {
	at, seq int64
	do      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}

// Schedule sets something for a time.
func (f *Fleet) Schedule(at int64, do func()) {
	f.seq++
	heap.Push(&f.events, event{max(at, f.Now), f.seq, do})
}

// NextEvent is when something happens next.
func (f *Fleet) NextEvent() int64 {
	if len(f.events) == 0 {
		return 1 << 62
	}
	return f.events[0].at
}

// RunUntil plays up to a time.
func (f *Fleet) RunUntil(at int64) {
	for len(f.events) > 0 && f.events[0].at <= at {
		e := heap.Pop(&f.events).(event)
		f.Now = max(f.Now, e.at)
		e.do()
	}
	f.Now = max(f.Now, at)
}

// Start starts a dead router from nothing.
func (f *Fleet) Start(i int) {
	h := f.Hosts[i]
	if h.Detector != nil {
		return
	}
	h.life++
	h.stopped, h.held = false, nil
	h.Detector = f.NewDetector(h, f.Now)
	f.run(h, h.life)
}

// Kill ends a router outright.
func (f *Fleet) Kill(i int) {
	h := f.Hosts[i]
	h.Detector, h.held, h.stopped = nil, nil, false
	h.life++
}

// Pause lets a router stand still; what comes waits for it.
func (f *Fleet) Pause(i int) { f.Hosts[i].stopped = true }

// Resume lets it go on.
func (f *Fleet) Resume(i int) {
	h := f.Hosts[i]
	if !h.stopped {
		return
	}
	h.stopped = false
	held := h.held
	h.held = nil
	for _, do := range held {
		do()
	}
}

// Throttle takes a share of a router's time away; 0: it has all again.
func (f *Fleet) Throttle(i int, share float64) { f.Hosts[i].starved = share }

// when a router that others crowd out gets round to what came now.
func (f *Fleet) late(h *Host) int64 {
	const slice = 60_000 // that others may have at once
	if h.starved == 0 || f.dice.Float64() >= h.starved {
		return 0
	}
	return f.dice.Int64N(int64(slice * (1 + 4*h.starved)))
}

// act does something at a router when it runs, unless it has another life by then.
func (f *Fleet) act(h *Host, do func()) {
	const mostHeld = 4096 // a socket's buffer
	life := h.life
	guarded := func() {
		if h.life == life && h.Detector != nil {
			do()
		}
	}
	if h.stopped {
		if len(h.held) < mostHeld {
			h.held = append(h.held, guarded)
		}
		return
	}
	if late := f.late(h); late > 0 {
		f.Schedule(f.Now+late, func() { f.hold(h, guarded) })
		return
	}
	guarded()
}

func (f *Fleet) hold(h *Host, do func()) {
	if h.stopped {
		h.held = append(h.held, do)
		return
	}
	do()
}

func (f *Fleet) run(h *Host, life int) {
	if h.life != life || h.Detector == nil {
		return
	}
	f.act(h, func() {
		next, out, news := h.Detector.Tick(f.Now)
		f.news(h, news)
		f.carry(h, out)
		if f.Payloads != nil {
			f.Payloads.Tick(h)
		}
		f.Schedule(next, func() { f.run(h, life) })
	})
}

func (f *Fleet) news(h *Host, news []membership.Change) {
	if f.OnChange != nil {
		for _, c := range news {
			f.OnChange(h, c)
		}
	}
}

// Carry sends words by the ways.
func (f *Fleet) carry(h *Host, out []membership.Outbound) {
	for _, o := range out {
		if f.BeforeSend != nil {
			f.BeforeSend(h, o.Message)
		}
		b, err := cbor.Marshal(o.Message)
		if err != nil {
			panic(err) // words are made of what can be written
		}
		size := len(b) + overhead
		h.SentBytes += int64(size)
		h.SentMessages++
		to := f.byName[o.To]
		if to == nil {
			continue
		}
		for _, at := range f.Network.Transmit(f.Now, h.ID, to.ID, size) {
			f.Schedule(at, func() {
				if to.Detector == nil {
					return
				}
				to.ReceivedBytes += int64(size)
				f.act(to, func() {
					var w membership.Message // each has its own, as on a wire
					if err := cbor.Unmarshal(b, &w); err != nil {
						panic(err)
					}
					f.hear(to, &w)
				})
			})
		}
	}
}

// hear takes a word, and the letters that it is or brings.
func (f *Fleet) hear(h *Host, w *membership.Message) {
	n, mails := h.Detector.(*membership.Node)
	if mails = mails && f.Payloads != nil; mails {
		n.SetGossipDigest(f.Payloads.Digest(h))
	}
	f.carry(h, h.Detector.Receive(f.Now, netip.AddrPort{}, w))
	if !mails {
		return
	}
	for _, l := range n.Payloads() {
		for _, body := range f.Payloads.HandlePayload(h, l) {
			f.carry(h, n.SendPayload(l.From, body))
		}
	}
}

// Send hands words to the ways that a router says outside Run, such as when it
// leaves.
func (f *Fleet) Send(i int, out []membership.Outbound) { f.carry(f.Hosts[i], out) }

// Converged tells whether all live routers hold just the live ones alive, and names
// one who doesn't.
func (f *Fleet) Converged() (bool, string) {
	for _, h := range f.Hosts {
		if h.Detector == nil {
			continue
		}
		for _, x := range f.Hosts {
			if s := h.Detector.State(x.Name); (s == membership.StateAlive) != (x.Detector != nil) {
				return false, fmt.Sprintf("%s holds %s %v", h.Name, x.Name, s)
			}
		}
	}
	return true, ""
}
