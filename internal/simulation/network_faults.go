package simulation

import (
	"math"

	"quilldoor/internal/netsim"
	"quilldoor/internal/scenario"
)

// startNetworkFault starts a fault of the network between routers.
func (s *Simulation) startNetworkFault(fault *scenario.Fault) (endFault func()) {
	var ids []int
	for _, router := range s.routers {
		if fault.Office == 0 || router.office == fault.Office-1 {
			ids = append(ids, router.id)
		}
	}
	chosen := drawShare(s.networkRandom, ids, fault.Share)
	switch fault.Kind {
	case scenario.KindPeerChain:
		third := len(ids) / 3
		return s.Network.Partition(ids[:third], ids[third:2*third])
	case scenario.KindPeerPartition:
		return s.Network.Partition(splitRouters(ids, int(fault.Strength), fault.Share)...)
	default:
		return s.Network.AddFault(networkFault(fault, chosen))
	}
}

// networkFault converts a fault of the scenario to one on the paths from the given routers and, unless its kind is
// one-way, on the paths back.
func networkFault(fault *scenario.Fault, from []int) *netsim.Fault {
	f := &netsim.Fault{From: from, Bidirectional: true}
	switch fault.Kind {
	case scenario.KindPeerDelay:
		f.Delay = int64(fault.Strength * millisecond)
	case scenario.KindPeerJitter:
		f.Jitter = int64(fault.Strength * millisecond)
	case scenario.KindPeerLoss:
		f.Loss = fault.Strength
	case scenario.KindPeerDuplication:
		f.Duplicate = fault.Strength
	case scenario.KindPeerReorder:
		f.Reorder = fault.Strength
	case scenario.KindPeerBandwidth:
		const bytesPerKB = 1000
		f.BytesPerSecond = fault.Strength * bytesPerKB
	case scenario.KindPeerCut:
		f.Partitioned = true
	case scenario.KindPeerOneWay:
		f.Partitioned = true
		f.Bidirectional = false
	}
	return f
}

// splitRouters splits routers into count groups. The first group has a share of the routers, and the others are of
// about equal size. With a share of 0 all groups are of about equal size.
func splitRouters(ids []int, count int, share float64) [][]int {
	firstSize := int(math.Ceil(share * float64(len(ids))))
	if share == 0 {
		firstSize = len(ids) / count
	}
	groups := [][]int{ids[:firstSize]}
	rest := ids[firstSize:]
	for i := 1; i < count; i++ {
		size := len(rest) / (count - i)
		groups = append(groups, rest[:size])
		rest = rest[size:]
	}
	return groups
}
