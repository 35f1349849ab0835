package simulation

import (
	"math"

	"quilldoor/internal/netsim"
	"quilldoor/internal/scenario"
)

// spoilWays puts a trouble on the ways between routers.
func (w *World) spoilWays(t *scenario.Fault) (over func()) {
	var all []int
	for _, r := range w.routers {
		if t.Office == 0 || r.office == t.Office-1 {
			all = append(all, r.id)
		}
	}
	w.wayDice.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	some := all[:min(len(all), int(math.Ceil(t.Share*float64(len(all)))))]
	x := &netsim.Fault{From: some, Bidirectional: true}
	switch t.Kind {
	case "ways_delay":
		x.Delay = int64(t.Strength * 1000)
	case "ways_jitter":
		x.Jitter = int64(t.Strength * 1000)
	case "ways_loss":
		x.Loss = t.Strength
	case "ways_double":
		x.Duplicate = t.Strength
	case "ways_reorder":
		x.Reorder = t.Strength
	case "ways_slow":
		x.BytesPerSecond = t.Strength * 1000
	case "ways_cut":
		x.Partitioned = true
	case "ways_one_way":
		x.Partitioned, x.Bidirectional = true, false
	case "ways_chain":
		third := len(all) / 3
		return w.Ways.Partition(all[:third], all[third:2*third])
	default: // ways_camps
		parts := int(t.Strength)
		first := int(math.Ceil(t.Share * float64(len(all))))
		if t.Share == 0 {
			first = len(all) / parts
		}
		camps, rest := [][]int{all[:first]}, all[first:]
		for i := 1; i < parts; i++ {
			n := len(rest) / (parts - i)
			camps, rest = append(camps, rest[:n]), rest[n:]
		}
		return w.Ways.Partition(camps...)
	}
	return w.Ways.AddFault(x)
}
