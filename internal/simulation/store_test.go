package simulation

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

// Under independent requests the hit share of a store is close to Che's approximation (Che, Tung and Wang, 2002).
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
		t.Fatalf("hit share %.4f, %.4f by Che's approximation", got, want)
	} else {
		t.Logf("hit share %.4f, %.4f by Che's approximation", got, want)
	}
}

// cheHitShare is the hit share by Che's approximation. It is the hit share at the characteristic time, in which as many
// distinct objects are requested as the store holds; bisection finds that time.
func cheHitShare(weights []float64, sum float64, capacity int) float64 {
	storedAndHits := func(window float64) (stored, hitShare float64) {
		for _, weight := range weights {
			present := 1 - math.Exp(-weight/sum*window)
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

// A store never exceeds its capacity and evicts copies of lower priorities first. Its rings and its map hold the same
// copies after every operation.
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

// testCapacityKB is the capacity of the store in the property test.
const testCapacityKB = 50

// checkPut stores a random copy and checks that the store accepts it where evicting copies of lower priorities makes
// enough space.
func checkPut(t *rapid.T, store *copyStore, key int64, draw func(n int) int) {
	t.Helper()
	lowest := priorityCount
	for _, cached := range store.copies {
		lowest = min(lowest, cached.priority)
	}
	before := len(store.copies)
	priority := draw(priorityCount)
	kb := float64(1 + draw(20))
	_, replaces := store.copies[key]
	store.put(key, kb, int64(draw(100)), int64(draw(3)), priority)
	if replaces || store.copies[key] != nil || before == 0 || priority <= lowest || kb > testCapacityKB {
		return
	}
	higherKB := 0.0
	for _, cached := range store.copies {
		if cached.priority > priority {
			higherKB += cached.sizeKB
		}
	}
	if higherKB+kb <= testCapacityKB {
		t.Fatalf("no space for %.0f KB of priority %d, although copies of priority %d could be evicted", kb, priority, lowest)
	}
}

// checkRings checks that the rings of priorities and the rings of groups each hold exactly the copies of the map, and
// that the copies are within the capacity.
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
				t.Fatalf("the ring of priority %d holds copy %d, but the map or the copy differs", priority, cached.key)
			}
		}
	}
	if count != len(store.copies) {
		t.Fatalf("%d copies in rings of priorities, %d in the map", count, len(store.copies))
	}
	for group := range store.groupRings {
		head := &store.groupRings[group]
		for cached := head.next; cached != head; cached = cached.next {
			count--
			if store.copies[cached.key] != cached || cached.group != int64(group) {
				t.Fatalf("the ring of group %d holds copy %d, but the map or the copy differs", group, cached.key)
			}
		}
	}
	if count != 0 {
		t.Fatalf("%d more copies in the map than in rings of groups", count)
	}
	if math.Abs(usedKB-store.usedKB) > 1e-9 || usedKB > testCapacityKB {
		t.Fatalf("copies of %.1f KB at a capacity of %d KB, counted as %.1f KB", usedKB, testCapacityKB, store.usedKB)
	}
}
