package simulation

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

// The hit share of a store under independent requests follows Che's approximation (Che, Tung and Wang, 2002).
func TestStoreHitShareMatchesChe(t *testing.T) {
	const objects, capacity = 5000, 500
	var weights []float64
	sum := 0.0
	for i := range objects {
		weights = append(weights, math.Pow(float64(i+1), -0.8))
		sum += weights[i]
	}
	filled := func(at float64) (n, hit float64) {
		for _, weight := range weights {
			in := 1 - math.Exp(-weight/sum*at)
			n, hit = n+in, hit+weight/sum*in
		}
		return n, hit
	}
	low, high := 0.0, 1e9
	for range 200 {
		if mid := (low + high) / 2; true {
			if n, _ := filled(mid); n < capacity {
				low = mid
			} else {
				high = mid
			}
		}
	}
	_, want := filled(low)
	r := rand.New(rand.NewPCG(3, 3))
	popular := distuv.NewCategorical(weights, r)
	s := newCopyStore(capacity)
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

// A store never holds more than its capacity and evicts copies of lower ranks first. Its rings and its map hold the
// same copies.
func TestStoreStaysWithinCapacityAndEvictsLowRanksFirst(t *testing.T) {
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
				s.purge(wholeGroup, int64(draw(3)), int64(draw(100)))
			default:
				lowest := rankCount
				for _, cached := range s.copies {
					lowest = min(lowest, cached.rank)
				}
				before, rank := len(s.copies), draw(rankCount)
				kb := float64(1 + draw(20))
				_, had := s.copies[key]
				s.put(key, kb, int64(draw(100)), int64(draw(3)), rank)
				if !had && s.copies[key] == nil && before > 0 && rank > lowest && kb <= 50 {
					higher := 0.0
					for _, cached := range s.copies {
						if cached.rank > rank {
							higher += cached.sizeKB
						}
					}
					if higher+kb <= 50 {
						t.Fatalf("rank %d found no space above rank %d", rank, lowest)
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
				t.Fatalf("%.1f of 50 used, counted %.1f", used, s.usedKB)
			}
		}
	})
}
