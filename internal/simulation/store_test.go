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
	const (
		objects     = 5000
		capacity    = 500
		skew        = 0.8
		requests    = 300_000
		warmUp      = 50_000
		maxDistance = 0.01
	)
	var weights []float64
	sum := 0.0
	for i := range objects {
		weights = append(weights, math.Pow(float64(i+1), -skew))
		sum += weights[i]
	}
	want := cheHitShare(weights, sum, capacity)
	random := rand.New(rand.NewPCG(3, 3))
	popularity := distuv.NewCategorical(weights, random)
	store := newCopyStore(capacity)
	hits, counted := 0, 0
	for i := range requests {
		key := int64(popularity.Rand())
		hit := store.get(key) != nil
		if !hit {
			store.put(key, 1, 1, 0, 1)
		}
		if i > warmUp {
			counted++
			if hit {
				hits++
			}
		}
	}
	if got := float64(hits) / float64(counted); math.Abs(got-want) > maxDistance {
		t.Fatalf("hit share %.4f, %.4f by Che", got, want)
	} else {
		t.Logf("hit share %.4f, %.4f by Che", got, want)
	}
}

// cheHitShare is the hit share by Che's approximation: that at the characteristic time, after which as many distinct
// objects were requested as the store holds. The time is found by bisection.
func cheHitShare(weights []float64, sum float64, capacity int) float64 {
	storedAndHits := func(time float64) (stored, hitShare float64) {
		for _, weight := range weights {
			present := 1 - math.Exp(-weight/sum*time)
			stored += present
			hitShare += weight / sum * present
		}
		return stored, hitShare
	}
	low, high := 0.0, 1e9
	for range 200 {
		mid := (low + high) / 2
		if stored, _ := storedAndHits(mid); stored < float64(capacity) {
			low = mid
		} else {
			high = mid
		}
	}
	_, hitShare := storedAndHits(low)
	return hitShare
}

// A store never holds more than its capacity and evicts copies of lower priorities first. Its rings and its map hold
// the same copies.
func TestStoreStaysWithinCapacityAndEvictsLowPrioritiesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		store := newCopyStore(testCapacityKB)
		for range 80 {
			switch key := int64(draw(30)); draw(5) {
			case 0:
				store.get(key)
			case 1:
				store.purge(key>>partBits, 0, int64(draw(100)))
			case 2:
				store.purge(wholeGroup, int64(draw(3)), int64(draw(100)))
			default:
				checkPut(t, store, key, draw)
			}
			checkRings(t, store)
		}
	})
}

// testCapacityKB is the capacity of the stores in the property test.
const testCapacityKB = 50

// checkPut stores a random copy. It must find space where copies of lower priorities could be evicted for it.
func checkPut(t *rapid.T, store *copyStore, key int64, draw func(n int) int) {
	t.Helper()
	lowest := priorityCount
	for _, cached := range store.copies {
		lowest = min(lowest, cached.priority)
	}
	before := len(store.copies)
	priority := draw(priorityCount)
	kb := float64(1 + draw(20))
	_, had := store.copies[key]
	store.put(key, kb, int64(draw(100)), int64(draw(3)), priority)
	if had || store.copies[key] != nil || before == 0 || priority <= lowest || kb > testCapacityKB {
		return
	}
	higherKB := 0.0
	for _, cached := range store.copies {
		if cached.priority > priority {
			higherKB += cached.sizeKB
		}
	}
	if higherKB+kb <= testCapacityKB {
		t.Fatalf("priority %d found no space above priority %d", priority, lowest)
	}
}

// checkRings checks that the rings of priorities and of groups hold just the copies of the map, within the capacity.
func checkRings(t *rapid.T, store *copyStore) {
	t.Helper()
	usedKB := 0.0
	count := 0
	for priority := range store.priorityRings {
		head := &store.priorityRings[priority]
		for cached := head.newer; cached != head; cached = cached.newer {
			usedKB += cached.sizeKB
			count++
			if store.copies[cached.key] != cached || cached.priority != priority {
				t.Fatal("a ring and the map disagree")
			}
		}
	}
	if count != len(store.copies) {
		t.Fatalf("%d in rings, %d in the map", count, len(store.copies))
	}
	for group := range store.groupRings {
		head := &store.groupRings[group]
		for cached := head.next; cached != head; cached = cached.next {
			count--
			if store.copies[cached.key] != cached || cached.group != int64(group) {
				t.Fatal("a group's ring and the map disagree")
			}
		}
	}
	if count != 0 {
		t.Fatalf("%d copies are in no group's ring", count)
	}
	if math.Abs(usedKB-store.usedKB) > 1e-9 || usedKB > testCapacityKB {
		t.Fatalf("%.1f of %d used, counted %.1f", usedKB, testCapacityKB, store.usedKB)
	}
}
