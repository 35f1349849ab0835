package simfleet

import (
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
)

// Plan of a trial. Times are microseconds.
type Plan struct {
	Routers int
	Seed    uint64
	Loss    float64 // on every way
	Beats   bool    // the baseline in place of the router's knowledge
}

// Of the trials: ways as in one data centre, beats as often as a question and its
// answer come, silence as long as the router's suspicion takes at least.
const (
	trialDelay, trialJitter = 300, 700
	beatEvery, beatAllowed  = 200_000, 1_200_000
	sec                     = 1_000_000
)

// Site makes the fleet of a plan, with three seeds, all started at once.
func (p Plan) Site() *Fleet {
	net := netsim.New(trialDelay, trialJitter, rand.New(rand.NewPCG(p.Seed, 2)))
	if p.Loss > 0 {
		net.Add(&netsim.Trouble{Loss: p.Loss})
	}
	f := New(p.Routers, p.Seed, net, func(h *Host, now int64) Speaker {
		if p.Beats {
			return NewBeats(h.Name, Seeds(p.Routers), beatEvery, beatAllowed, now+int64(h.ID)*beatEvery/int64(p.Routers))
		}
		return membership.New(membership.Settings{Name: h.Name, Place: "office", Addr: Addr(h.ID), Seeds: Seeds(min(p.Routers, 3)), Life: 1},
			rand.New(rand.NewPCG(p.Seed, uint64(h.ID)<<16|uint64(h.life))), now)
	})
	for i := range p.Routers {
		f.Start(i)
	}
	return f
}

// settle plays until all agree; false: they never did.
func (f *Fleet) settle(within int64) (took int64, agreed bool) {
	from := f.Now
	for f.Now < from+within {
		f.Until(f.Now + 20_000)
		if ok, _ := f.Agree(); ok {
			return f.Now - from, true
		}
	}
	return within, false
}

// Times are how long something took, over many tries, in microseconds.
type Times struct {
	*hdrhistogram.Histogram
	Missed int // tries in which it did not come about
}

func newTimes() *Times { return &Times{Histogram: hdrhistogram.New(1000, 600*sec, 3)} }

// Detection kills one router after another and takes the time until all the
// others hold it dead.
func (p Plan) Detection(kills int) *Times {
	f := p.Site()
	f.settle(120 * sec)
	dice := rand.New(rand.NewPCG(p.Seed, 3))
	out := newTimes()
	for range kills {
		f.Until(f.Now + 2*sec + dice.Int64N(sec))
		i := dice.IntN(p.Routers)
		dead, at := 0, int64(0)
		f.News = func(_ *Host, c membership.Change) {
			if c.Name == Name(i) && c.To == membership.Dead {
				if dead++; dead == p.Routers-1 {
					at = f.Now
				}
			}
		}
		f.Kill(i)
		from := f.Now
		f.Until(from + 20*sec)
		if f.News = nil; at == 0 {
			out.Missed++
		} else {
			out.RecordValue(at - from)
		}
		f.Start(i)
		f.settle(20 * sec)
	}
	return out
}

// Hour is what live routers were wrongly called in a long time with loss, stops
// and starved ones.
type Hour struct {
	Stops               int
	Suspicions          int64
	Deaths              int     // live routers called dead, by anyone
	SentPerS, HeardPerS float64 // bytes, mean of a router
}

// Hold plays for so long: a router is stopped for half a second every five, three
// are starved of most of their time.
func (p Plan) Hold(length int64) Hour {
	f := p.Site()
	f.settle(120 * sec)
	for i := range 3 {
		f.Starve(p.Routers-1-i, 0.6)
	}
	var h Hour
	f.News = func(_ *Host, c membership.Change) {
		switch c.To {
		case membership.Suspected:
			h.Suspicions++
		case membership.Dead:
			h.Deaths++
		}
	}
	dice := rand.New(rand.NewPCG(p.Seed, 4))
	from := f.Now
	var sent, heard int64
	for _, x := range f.Hosts {
		sent, heard = sent-x.SentBytes, heard-x.HeardBytes
	}
	for at := from + sec; at < from+length; at += 5 * sec {
		i := dice.IntN(p.Routers)
		f.At(at, func() { f.Stop(i) })
		f.At(at+sec/2, func() { f.Wake(i) })
		h.Stops++
	}
	f.Until(from + length)
	for _, x := range f.Hosts {
		sent, heard = sent+x.SentBytes, heard+x.HeardBytes
	}
	per := float64(length) / sec * float64(p.Routers)
	h.SentPerS, h.HeardPerS = float64(sent)/per, float64(heard)/per
	return h
}

// Heal is a cut into halves and its end.
type Heal struct {
	Agreed       int64 // after the heal; 0: never
	Known        int64 // after the cut, until each side holds all of the other dead; 0: never
	Calm, During float64
}

// Cut cuts the routers into halves for so long and heals them. During is the
// bytes a second of a router in the three seconds after, Calm those before.
func (p Plan) Cut(length int64) (h Heal) {
	f := p.Site()
	f.settle(120 * sec)
	f.Until(f.Now + 10*sec)
	sent := func() (sum int64) {
		for _, x := range f.Hosts {
			sum += x.SentBytes
		}
		return sum
	}
	per := func(from int64, s int64) float64 { return float64(sent()-from) * sec / float64(s) / float64(p.Routers) }
	a := sent()
	f.Until(f.Now + 5*sec)
	h.Calm = per(a, 5*sec)
	var left, right []int
	for i := range p.Routers {
		if i%2 == 0 {
			left = append(left, i)
		} else {
			right = append(right, i)
		}
	}
	from := f.Now
	heal := f.Net.Camps(left, right)
	for f.Now < from+length {
		f.Until(f.Now + 20_000)
		if h.Known == 0 && f.split(left, right) {
			h.Known = f.Now - from
		}
	}
	heal()
	a, from = sent(), f.Now
	if took, ok := f.settle(60 * sec); ok {
		h.Agreed = took
	}
	f.Until(max(from+3*sec, f.Now))
	h.During = per(a, f.Now-from)
	return h
}

func (f *Fleet) split(left, right []int) bool {
	for _, i := range left {
		for _, j := range right {
			if f.Hosts[i].Speaker.State(Name(j)) != membership.Dead || f.Hosts[j].Speaker.State(Name(i)) != membership.Dead {
				return false
			}
		}
	}
	return true
}

// Half kills half of the routers in one instant and takes the time until all that
// are left hold all of them dead, then starts them together and takes the time
// until all agree.
func (p Plan) Half() (dead, back *Times) {
	f := p.Site()
	f.settle(120 * sec)
	dead, back = newTimes(), newTimes()
	f.Until(f.Now + 10*sec)
	from := f.Now
	for i := 0; i < p.Routers; i += 2 {
		f.Kill(i)
	}
	gone := func() bool {
		for i := 1; i < p.Routers; i += 2 {
			for j := 0; j < p.Routers; j += 2 {
				if f.Hosts[i].Speaker.State(Name(j)) != membership.Dead {
					return false
				}
			}
		}
		return true
	}
	for !gone() && f.Now < from+60*sec {
		f.Until(f.Now + 20_000)
	}
	if gone() {
		dead.RecordValue(f.Now - from)
	} else {
		dead.Missed++
	}
	for i := 0; i < p.Routers; i += 2 {
		f.Start(i)
	}
	if took, ok := f.settle(60 * sec); ok {
		back.RecordValue(took)
	} else {
		back.Missed++
	}
	return dead, back
}
