package simulation

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"

	"quilldoor/internal/scenario"
)

// The same cases at every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// silent is a driver whose routers answer nothing.
type silent struct{}

func (silent) Ask(*Ask)            {}
func (silent) Leave(int, string)   {}
func (silent) End(int, *Hop, End)  {}
func (silent) Told(int, Notice)    {}
func (silent) Down(int)            {}
func (silent) Up(int, []Server)    {}
func (silent) Stop(int)            {}
func (silent) Wake(int)            {}
func (silent) Starve(int, float64) {}
func (silent) Note(*Entry)         {}

func bare() *World {
	s := scenario.Default()
	return &World{scenario: &s, driver: silent{}, random: rand.New(rand.NewPCG(1, 1))}
}

// Jobs of exponential work that share c cores are as many as in an M/M/c queue,
// whatever the order of service, so that Erlang's C tells how long they stay.
func TestCoresAgainstErlangC(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, 0.6}, {5, 0.8}, {20, 0.9}} {
		w := bare()
		s := &sharedResource{world: w, totalRate: float64(c.cores), maxJobRate: 1}
		const work, jobs = 1e5, 200_000
		wait := distuv.Exponential{Rate: 1, Src: w.random}
		stayed, n := 0.0, 0
		var arrive func()
		arrive = func() {
			began := w.now
			s.add(wait.Rand()*work, func() {
				stayed += float64(w.now - began)
				n++
			})
			w.schedule(int64(wait.Rand()*work/c.load/float64(c.cores)), arrive)
		}
		arrive()
		for n < jobs {
			w.Step(w.Next())
		}
		a := c.load * float64(c.cores)
		sum, term := 0.0, 1.0
		for k := range c.cores {
			sum += term
			term *= a / float64(k+1)
		}
		last := term / (1 - c.load)
		erlang := last / (sum + last)
		want := work * (1 + erlang/(float64(c.cores)*(1-c.load)))
		if got := stayed / float64(n); math.Abs(got/want-1) > 0.03 {
			t.Errorf("%d cores at %.2f: %.0f us in the system, %.0f by Erlang's C", c.cores, c.load, got, want)
		} else {
			t.Logf("%d cores at %.2f: %+.2f%% of Erlang's C", c.cores, c.load, 100*(got/want-1))
		}
	}
}

// The hit share of a store under independent requests against Che's approximation
// (Che, Tung and Wang, 2002).
func TestStoreAgainstChe(t *testing.T) {
	const objects, room = 5000, 500
	var weights []float64
	sum := 0.0
	for i := range objects {
		weights = append(weights, math.Pow(float64(i+1), -0.8))
		sum += weights[i]
	}
	filled := func(at float64) (n, hit float64) {
		for _, w := range weights {
			in := 1 - math.Exp(-w/sum*at)
			n, hit = n+in, hit+w/sum*in
		}
		return n, hit
	}
	low, high := 0.0, 1e9
	for range 200 {
		if mid := (low + high) / 2; true {
			if n, _ := filled(mid); n < room {
				low = mid
			} else {
				high = mid
			}
		}
	}
	_, want := filled(low)
	r := rand.New(rand.NewPCG(3, 3))
	popular := distuv.NewCategorical(weights, r)
	s := newCopyStore(room)
	hits, all := 0, 0
	for i := range 300_000 {
		key := int64(popular.Rand())
		hit := s.get(key) != nil
		if !hit {
			s.put(key, 1, 1, 0, 1)
		}
		if i > 50_000 {
			all++
			if hit {
				hits++
			}
		}
	}
	if got := float64(hits) / float64(all); math.Abs(got-want) > 0.01 {
		t.Fatalf("hit share %.4f, %.4f by Che", got, want)
	} else {
		t.Logf("hit share %.4f, %.4f by Che", got, want)
	}
}

// A store never holds more than its room, and gives up lower ranks first.
func TestStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		s := newCopyStore(50)
		for range 80 {
			switch key := int64(draw(30)); draw(5) {
			case 0:
				s.get(key)
			case 1:
				s.purge(key>>partBits, 0, int64(draw(100)))
			case 2:
				s.purge(-1, int64(draw(3)), int64(draw(100)))
			default:
				lowest := 4
				for _, c := range s.copies {
					lowest = min(lowest, c.rank)
				}
				before, rank := len(s.copies), draw(4)
				kb := float64(1 + draw(20))
				_, had := s.copies[key]
				s.put(key, kb, int64(draw(100)), int64(draw(3)), rank)
				if !had && s.copies[key] == nil && before > 0 && rank > lowest && kb <= 50 {
					higher := 0.0
					for _, c := range s.copies {
						if c.rank > rank {
							higher += c.sizeKB
						}
					}
					if higher+kb <= 50 {
						t.Fatalf("rank %d found no room above rank %d", rank, lowest)
					}
				}
			}
			used, n := 0.0, 0
			for rank := range s.rankRings {
				for c := s.rankRings[rank].newer; c != &s.rankRings[rank]; c = c.newer {
					if used, n = used+c.sizeKB, n+1; s.copies[c.key] != c || c.rank != rank {
						t.Fatal("a ring and the map disagree")
					}
				}
			}
			if n != len(s.copies) {
				t.Fatalf("%d in rings, %d in the map", n, len(s.copies))
			}
			for g := range s.groupRings {
				for c := s.groupRings[g].next; c != &s.groupRings[g]; c = c.next {
					if n--; s.copies[c.key] != c || c.group != int64(g) {
						t.Fatal("a group's ring and the map disagree")
					}
				}
			}
			if n != 0 {
				t.Fatalf("%d copies are in no group's ring", n)
			}
			if math.Abs(used-s.usedKB) > 1e-9 || used > 50 {
				t.Fatalf("%.1f of 50 used, told %.1f", used, s.usedKB)
			}
		}
	})
}

// What falls on one instant comes in the order in which it was set.
func TestOneInstantKeepsItsOrder(t *testing.T) {
	w := bare()
	var got []int
	for i := range 100 {
		w.schedule(int64(i%3)*5, func() { got = append(got, i) })
	}
	for more := true; more; {
		more = w.Step(w.Next()) && len(w.events) > 0
	}
	last := [3]int{-1, -1, -1}
	for n, i := range got {
		if i < last[i%3] || n > 0 && i%3 < got[n-1]%3 {
			t.Fatalf("order %v", got)
		}
		last[i%3] = i
	}
	if len(got) != 100 {
		t.Fatal(fmt.Sprint(len(got), " events"))
	}
}
