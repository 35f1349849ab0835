package diskbench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Workload describes the requests to a disk cache. A session requests the parts of one object in
// order, up to a random one.
type Workload struct {
	Requests       int
	Objects        int     // of the catalogue
	Skew           float64 // exponent of Zipf's law over the catalogue
	OneTimeShare   float64 // share of sessions with an object that no other session requests
	DriftInterval  int     // requests after which two objects swap their popularity; 0: never
	MultipartShare float64 // share of objects with several parts
	DiskShare      float64 // size of the disk as a share of the catalogue's bytes
	Seed           uint64
}

// object is a file of one or more parts. All parts except the last have the same size.
type object struct {
	name     string
	parts    int
	partSize int // bytes
}

// size is the size of a part in bytes; the last part is about two thirds of the others.
func (o *object) size(part int) int {
	if part == o.parts-1 {
		return o.partSize*2/3 + 1
	}
	return o.partSize
}

// drawObject creates a video of 4 to 60 parts of 60 to 240 kB each, or a page of 2 to 40 kB.
// The logarithms of counts and sizes are uniformly distributed.
func drawObject(random *rand.Rand, name string, multipart bool) object {
	logUniform := func(low, high float64) int { return int(low * math.Pow(high/low, random.Float64())) }
	o := object{name: name, parts: 1}
	if multipart {
		o.parts = logUniform(4, 60)
		o.partSize = logUniform(60e3, 240e3)
		return o
	}
	o.partSize = logUniform(2e3, 40e3)
	return o
}

// generator draws a workload's requests.
type generator struct {
	workload       Workload
	random         *rand.Rand
	catalogue      []object // by popularity rank
	popularity     distuv.Categorical
	catalogueBytes int64 // size of all objects, with the last part of each counted at full size
	oneTimeCount   int   // one-time objects created so far
}

func newGenerator(workload Workload) *generator {
	random := rand.New(rand.NewPCG(workload.Seed, 1))
	g := &generator{workload: workload, random: random, catalogue: make([]object, workload.Objects)}
	weights := make([]float64, workload.Objects)
	for i := range g.catalogue {
		g.catalogue[i] = g.drawObject(fmt.Sprint("o", i))
		weights[i] = math.Pow(float64(i+1), -workload.Skew)
		g.catalogueBytes += int64(g.catalogue[i].parts) * int64(g.catalogue[i].partSize)
	}
	g.popularity = distuv.NewCategorical(weights, random)
	return g
}

func (g *generator) drawObject(name string) object {
	multipart := g.random.Float64() < g.workload.MultipartShare
	return drawObject(g.random, name, multipart)
}

// nextObject draws the object of the next session.
func (g *generator) nextObject() object {
	if g.random.Float64() < g.workload.OneTimeShare {
		g.oneTimeCount++
		return g.drawObject(fmt.Sprint("once", g.oneTimeCount))
	}
	return g.catalogue[int(g.popularity.Rand())]
}

// continues draws whether a session requests the object's next part: in nine of ten cases.
func (g *generator) continues() bool { return g.random.IntN(10) > 0 }

// drift swaps the popularity of two objects.
func (g *generator) drift() {
	a, b := g.random.IntN(g.workload.Objects), g.random.IntN(g.workload.Objects)
	g.catalogue[a], g.catalogue[b] = g.catalogue[b], g.catalogue[a]
}
