package simulation

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/scenario"
)

const (
	groupCount = 256 // purge groups

	// partBits is the width of the part's number in a key.
	partBits = 8

	// firstOneTimeObject is the lowest number of a one-time object, which only one client requests.
	firstOneTimeObject = int64(1) << 40

	cachedClasses = 2 // videos and pages: the classes with objects in the catalogue

	// maxDraws bounds the draws of an object for an office. A draw is repeated if it gives an object that is local to
	// another office.
	maxDraws = 8

	// At each drift one in driftOneIn objects of a class swaps popularity with another one.
	driftOneIn = 100
)

// Videos have minVideoParts to minVideoParts+videoPartsSpread-1 parts.
const (
	minVideoParts    = 9
	videoPartsSpread = 11
)

// Sizes are log-uniformly distributed from a minimum to a multiple of it. The last part of a video is shorter.
const (
	minPageKB          = 6
	pageKBRatio        = 10
	minVideoPartKB     = 40
	videoPartKBRatio   = 5.8
	lastPartMinShare   = 0.3
	lastPartShareRange = 0.6
)

// Purposes of a hash. Each property of an object has its own, so that the properties are independent.
const (
	hashGroup      = 1
	hashParts      = 2
	hashSize       = 3
	hashLastPart   = 4
	hashLocal      = 5
	hashHomeOffice = 6
)

// catalogue is the set of objects that clients request: videos of several parts, and pages. Some objects are local:
// only clients of one office request them. An object is identified by a number, from which its properties are derived
// with a salt that depends on the seed.
type catalogue struct {
	scenario       *scenario.Scenario
	salt           uint64
	objects        int64
	byPopularity   [cachedClasses][]int64            // the objects of each class, most popular first
	popularity     [cachedClasses]distuv.Categorical // of the places in byPopularity
	oneTimeCount   int64                             // one-time objects created so far
	totalKB        float64
	officeKB       float64  // total size of the objects that clients of one office can request
	prewarmedBelow [2]int64 // by kind of server: objects with smaller numbers are cached at the start
}

// partKey identifies a part of an object.
func partKey(object, part int64) int64 { return object<<partBits | part&(1<<partBits-1) }

func newCatalogue(s *scenario.Scenario, random *rand.Rand) *catalogue {
	c := &catalogue{scenario: s, salt: random.Uint64(), objects: int64(s.Load.Objects)}
	for class := range c.byPopularity {
		var weights []float64
		for i := range int(c.objects) / cachedClasses {
			c.byPopularity[class] = append(c.byPopularity[class], int64(i)*cachedClasses+int64(class))
			weights = append(weights, math.Pow(float64(i+1), -s.Load.Skew)) // Zipf's law
		}
		c.popularity[class] = distuv.NewCategorical(weights, random)
	}
	c.measure()
	if s.Fleet.PreWarmed {
		c.prewarmedBelow = [2]int64{
			kindCache:  c.objectsWithin(s.Fleet.CacheShare),
			kindParent: c.objectsWithin(s.Fleet.ParentCacheShare),
		}
	}
	return c
}

// measure sums the sizes of all objects.
func (c *catalogue) measure() {
	localKB := 0.0
	for object := range c.objects / cachedClasses * cachedClasses {
		for part := range c.parts(object) {
			kb := c.size(object, part)
			c.totalKB += kb
			if c.home(object) >= 0 {
				localKB += kb
			}
		}
	}
	c.officeKB = c.totalKB - localKB + localKB/float64(c.scenario.Fleet.Offices)
}

// objectsWithin returns the object number below which all objects together make up a share of the catalogue's bytes.
// At the start of the run objects are numbered by popularity.
func (c *catalogue) objectsWithin(share float64) int64 {
	kb := 0.0
	for object := range c.objects {
		for part := range c.parts(object) {
			kb += c.size(object, part)
		}
		if kb > share*c.totalKB {
			return object
		}
	}
	return c.objects
}

// hash mixes an object's number, the salt and a purpose with the finalizer of SplitMix64.
func (c *catalogue) hash(object int64, purpose uint64) uint64 {
	z := uint64(object)*0x9e3779b97f4a7c15 + c.salt + purpose*0xbf58476d1ce4e5b9
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// uniform is a hash scaled to the interval [0, 1).
func (c *catalogue) uniform(object int64, purpose uint64) float64 {
	return float64(c.hash(object, purpose)>>11) / (1 << 53)
}

// class is the index of an object's traffic class: even numbers are videos, odd ones pages.
func (c *catalogue) class(object int64) int { return int(object & 1) }

// group is an object's purge group.
func (c *catalogue) group(object int64) int64 { return int64(c.hash(object, hashGroup) % groupCount) }

// parts is the number of an object's parts.
func (c *catalogue) parts(object int64) int64 {
	if c.class(object) == scenario.ClassPage {
		return 1
	}
	return minVideoParts + int64(c.hash(object, hashParts)%videoPartsSpread)
}

// size is the size of a part in KB.
func (c *catalogue) size(object, part int64) float64 {
	if c.class(object) == scenario.ClassPage {
		return minPageKB * math.Pow(pageKBRatio, c.uniform(object, hashSize))
	}
	kb := minVideoPartKB * math.Pow(videoPartKBRatio, c.uniform(object, hashSize))
	if part == c.parts(object)-1 {
		kb *= lastPartMinShare + lastPartShareRange*c.uniform(object, hashLastPart)
	}
	return kb
}

// home is the office of a local object; -1: clients of all offices request the object.
func (c *catalogue) home(object int64) int {
	if object < firstOneTimeObject && c.uniform(object, hashLocal) < c.scenario.Load.LocalShare {
		return int(c.hash(object, hashHomeOffice) % uint64(c.scenario.Fleet.Offices))
	}
	return -1
}

// draw picks an object for an office by popularity.
func (c *catalogue) draw(class, office int) int64 {
	for range maxDraws {
		object := c.byPopularity[class][int(c.popularity[class].Rand())]
		if home := c.home(object); home < 0 || home == office {
			return object
		}
	}
	return c.byPopularity[class][0]
}

// newOneTimeObject creates an object that no other client requests.
func (c *catalogue) newOneTimeObject(class int) int64 {
	c.oneTimeCount++
	return firstOneTimeObject + c.oneTimeCount*cachedClasses + int64(class)
}

// drift changes the popularity of some objects: each swaps its rank with another object of its class.
func (c *catalogue) drift(random *rand.Rand) {
	for _, objects := range c.byPopularity {
		for range len(objects)/driftOneIn + 1 {
			a := random.IntN(len(objects))
			b := random.IntN(len(objects))
			objects[a], objects[b] = objects[b], objects[a]
		}
	}
}

// objectNamePrefix precedes an object's number, in base 36, in its name.
const objectNamePrefix = "o"

func (c *catalogue) name(object int64) string {
	return objectNamePrefix + strconv.FormatInt(object, 36)
}

// id parses the name of an object into its number; -1: the name does not have the form that name returns.
func (c *catalogue) id(name string) int64 {
	text, ok := strings.CutPrefix(name, objectNamePrefix)
	if !ok {
		return -1
	}
	id, err := strconv.ParseInt(text, 36, 64)
	if err != nil {
		return -1
	}
	return id
}
