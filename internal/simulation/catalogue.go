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
	groupCount  = 256
	partBits    = 8 // of a key: the part
	oneTimeFrom = int64(1) << 40
)

// catalogue is what clients ask for: videos of several parts and pages, some of
// them wanted at one office only. An object is a number; its figures follow from
// that and the seed.
type catalogue struct {
	scenario       *scenario.Scenario
	salt           uint64
	objects        int64
	byPopularity   [2][]int64 // by rule: the objects by popularity
	popularity     [2]distuv.Categorical
	oneTimeCount   int64
	totalKB        float64
	officeKB       float64  // what one office can want
	prewarmedBelow [2]int64 // by kind of server: objects up to there are kept at the start
}

func partKey(object, part int64) int64 { return object<<partBits | part&(1<<partBits-1) }

func newCatalogue(s *scenario.Scenario, dice *rand.Rand) *catalogue {
	c := &catalogue{scenario: s, salt: dice.Uint64(), objects: int64(s.Load.Objects)}
	for class := range c.byPopularity {
		var weights []float64
		for i := range int(c.objects) / 2 {
			c.byPopularity[class] = append(c.byPopularity[class], int64(i)*2+int64(class))
			weights = append(weights, math.Pow(float64(i+1), -s.Load.Skew))
		}
		c.popularity[class] = distuv.NewCategorical(weights, dice)
	}
	localKB := 0.0
	for i := range c.objects / 2 * 2 {
		for p := range c.parts(i) {
			kb := c.size(i, p)
			c.totalKB += kb
			if c.home(i) >= 0 {
				localKB += kb
			}
		}
	}
	c.officeKB = c.totalKB - localKB + localKB/float64(s.Fleet.Offices)
	if s.Fleet.PreWarmed {
		c.prewarmedBelow = [2]int64{kindCache: c.objectsWithin(s.Fleet.CacheShare), kindParent: c.objectsWithin(s.Fleet.ParentCacheShare)}
	}
	return c
}

// objectsWithin gives the number under which objects make up a share of the catalogue's
// bytes: at the start numbers are by popularity.
func (c *catalogue) objectsWithin(share float64) int64 {
	kb := 0.0
	for i := range c.objects {
		for p := range c.parts(i) {
			kb += c.size(i, p)
		}
		if kb > share*c.totalKB {
			return i
		}
	}
	return c.objects
}

// hash is a hash of an object's number and a purpose (SplitMix64's finish).
func (c *catalogue) hash(object int64, purpose uint64) uint64 {
	z := uint64(object)*0x9e3779b97f4a7c15 + c.salt + purpose*0xbf58476d1ce4e5b9
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (c *catalogue) uniform(object int64, purpose uint64) float64 {
	return float64(c.hash(object, purpose)>>11) / (1 << 53)
}

// class of an object: even numbers are videos, odd ones pages.
func (c *catalogue) class(object int64) int { return int(object & 1) }

func (c *catalogue) group(object int64) int64 { return int64(c.hash(object, 1) % groupCount) }

func (c *catalogue) parts(object int64) int64 {
	if c.class(object) == scenario.ClassPage {
		return 1
	}
	return 9 + int64(c.hash(object, 2)%11)
}

// size of a part in KB: even in its logarithm, the last part of a video shorter.
func (c *catalogue) size(object, part int64) float64 {
	if c.class(object) == scenario.ClassPage {
		return 6 * math.Pow(10, c.uniform(object, 3))
	}
	kb := 40 * math.Pow(5.8, c.uniform(object, 3))
	if part == c.parts(object)-1 {
		kb *= 0.3 + 0.6*c.uniform(object, 4)
	}
	return kb
}

// home is the one office at which an object is wanted, or -1.
func (c *catalogue) home(object int64) int {
	if object < oneTimeFrom && c.uniform(object, 5) < c.scenario.Load.LocalShare {
		return int(c.hash(object, 6) % uint64(c.scenario.Fleet.Offices))
	}
	return -1
}

// draw picks an object for an office by popularity.
func (c *catalogue) draw(class, office int) int64 {
	const maxDraws = 8 // an object at home elsewhere is drawn again
	for range maxDraws {
		object := c.byPopularity[class][int(c.popularity[class].Rand())]
		if home := c.home(object); home < 0 || home == office {
			return object
		}
	}
	return c.byPopularity[class][0]
}

// newOneTimeObject makes an object that nobody wants again.
func (c *catalogue) newOneTimeObject(class int) int64 {
	c.oneTimeCount++
	return oneTimeFrom + c.oneTimeCount*2 + int64(class)
}

// drift lets one object in a hundred change its place with another.
func (c *catalogue) drift(dice *rand.Rand) {
	for _, objects := range c.byPopularity {
		for range len(objects)/100 + 1 {
			a, b := dice.IntN(len(objects)), dice.IntN(len(objects))
			objects[a], objects[b] = objects[b], objects[a]
		}
	}
}

func (c *catalogue) name(object int64) string { return "o" + strconv.FormatInt(object, 36) }

// id of a name that a router sends; -1: it is none of ours.
func (c *catalogue) id(name string) int64 {
	text, ok := strings.CutPrefix(name, "o")
	if !ok {
		return -1
	}
	id, err := strconv.ParseInt(text, 36, 64)
	if err != nil {
		return -1
	}
	return id
}

func zoneName(office int) string { return scenario.Zone(office) }
func trunkName(trunk int) string { return "trunk-" + strconv.Itoa(trunk+1) }
