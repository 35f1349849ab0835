package simulation

import (
	"math"

	"quilldoor/internal/netsim"
	"quilldoor/internal/scenario"
)

// startNetworkFault puts a trouble on the ways between routers.
func (w *World) startNetworkFault(fault *scenario.Fault) (endFault func()) {
	var ids []int
	for _, router := range w.routers {
		if fault.Office == 0 || router.office == fault.Office-1 {
			ids = append(ids, router.id)
		}
	}
	w.networkRandom.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	chosen := ids[:min(len(ids), int(math.Ceil(fault.Share*float64(len(ids)))))]
	networkFault := &netsim.Fault{From: chosen, Bidirectional: true}
	switch fault.Kind {
	case "ways_delay":
		networkFault.Delay = int64(fault.Strength * 1000)
	case "ways_jitter":
		networkFault.Jitter = int64(fault.Strength * 1000)
	case "ways_loss":
		networkFault.Loss = fault.Strength
	case "ways_double":
		networkFault.Duplicate = fault.Strength
	case "ways_reorder":
		networkFault.Reorder = fault.Strength
	case "ways_slow":
		networkFault.BytesPerSecond = fault.Strength * 1000
	case "ways_cut":
		networkFault.Partitioned = true
	case "ways_one_way":
		networkFault.Partitioned, networkFault.Bidirectional = true, false
	case "ways_chain":
		third := len(ids) / 3
		return w.Ways.Partition(ids[:third], ids[third:2*third])
	default: // ways_camps
		parts := int(fault.Strength)
		firstSize := int(math.Ceil(fault.Share * float64(len(ids))))
		if fault.Share == 0 {
			firstSize = len(ids) / parts
		}
		groups, rest := [][]int{ids[:firstSize]}, ids[firstSize:]
		for i := 1; i < parts; i++ {
			size := len(rest) / (parts - i)
			groups, rest = append(groups, rest[:size]), rest[size:]
		}
		return w.Ways.Partition(groups...)
	}
	return w.Ways.AddFault(networkFault)
}
