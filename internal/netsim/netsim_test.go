package netsim

import (
	"math/rand/v2"
	"testing"
)

// Each kind of fault affects only its paths, and ends when it is removed. All faults are tested in turn on the same
// network, so that state left by a removed fault would show in the next subtest.
func TestFaultsActOnTheirPaths(t *testing.T) {
	network := New(1000, 0, rand.New(rand.NewPCG(1, 1)))
	if at := network.Transmit(5, 0, 1, 100); len(at) != 1 || at[0] != 1005 {
		t.Fatalf("without a fault: %v", at)
	}
	t.Run("one-way partition", func(t *testing.T) { testOneWayPartition(t, network) })
	t.Run("partition", func(t *testing.T) { testPartition(t, network) })
	t.Run("delay and duplicates", func(t *testing.T) { testDuplicates(t, network) })
	t.Run("reordering", func(t *testing.T) { testReordering(t, network) })
	t.Run("limited rate", func(t *testing.T) { testLimitedRate(t, network) })
	t.Run("loss", func(t *testing.T) { testLoss(t, network) })
	if at := network.Transmit(5, 0, 1, 100); len(at) != 1 || at[0] != 1005 {
		t.Errorf("after all faults: %v", at)
	}
}

func testOneWayPartition(t *testing.T, network *Network) {
	remove := network.AddFault(&Fault{From: []int{0}, Partitioned: true})
	defer remove()
	if network.Transmit(5, 0, 1, 100) != nil || network.Reachable(0, 1) {
		t.Error("a datagram arrives over a partitioned path")
	}
	if network.Transmit(5, 1, 0, 100) == nil || !network.Reachable(1, 0) {
		t.Error("a datagram is lost in the direction that is not partitioned")
	}
}

func testPartition(t *testing.T, network *Network) {
	remove := network.Partition([]int{0}, []int{1, 2}, []int{3})
	defer remove()
	for _, test := range []struct{ from, to, arrivals int }{
		{0, 1, 0}, {1, 2, 1}, {2, 1, 1}, {2, 3, 0}, {3, 0, 0}, {0, 4, 1}, {4, 3, 1},
	} {
		if got := len(network.Transmit(0, test.from, test.to, 1)); got != test.arrivals {
			t.Errorf("%d to %d: %d arrivals, want %d", test.from, test.to, got, test.arrivals)
		}
	}
}

func testDuplicates(t *testing.T, network *Network) {
	remove := network.AddFault(&Fault{From: []int{2}, Bidirectional: true, Duplicate: 1, Delay: 50})
	defer remove()
	if at := network.Transmit(0, 1, 2, 1); len(at) != 2 || at[0] != 1050 || at[1] <= at[0] {
		t.Errorf("duplicated with a delay of 50: arrivals %v", at)
	}
}

func testReordering(t *testing.T, network *Network) {
	remove := network.AddFault(&Fault{Reorder: 0.5})
	defer remove()
	late := 0
	for sentAt := range int64(1000) {
		if network.Transmit(sentAt, 0, 1, 1)[0] > sentAt+1000 {
			late++
		}
	}
	if late < 400 || late > 600 {
		t.Errorf("reordered: %d of 1000", late)
	}
}

func testLimitedRate(t *testing.T, network *Network) {
	remove := network.AddFault(&Fault{BytesPerSecond: 1000})
	defer remove()
	first := network.Transmit(0, 0, 1, 100)
	second := network.Transmit(0, 0, 1, 100)
	if first[0] != 101_000 || second[0] != 201_000 {
		t.Errorf("limited rate: arrivals %v, then %v", first, second)
	}
	for range 30 {
		network.Transmit(0, 0, 1, 100)
	}
	if at := network.Transmit(0, 0, 1, 100); at != nil {
		t.Errorf("the queue of a path with limited rate has no bound: %v", at)
	}
	if at := network.Transmit(0, 1, 0, 100); len(at) != 1 || at[0] != 101_000 {
		t.Errorf("the queue of one direction delays the other one: %v", at)
	}
}

func testLoss(t *testing.T, network *Network) {
	remove := network.AddFault(&Fault{Loss: 0.1})
	defer remove()
	lost := 0
	for range 10_000 {
		if network.Transmit(0, 0, 1, 1) == nil {
			lost++
		}
	}
	if lost < 900 || lost > 1100 {
		t.Errorf("lost: %d of 10,000", lost)
	}
}

// Guards against a data race when faults are added and removed while another goroutine sends datagrams.
func TestFaultsChangeWhileMessagesFlow(t *testing.T) {
	network := New(1, 0, rand.New(rand.NewPCG(1, 1)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			network.Transmit(0, 1, 2, 1)
			network.Reachable(1, 2)
		}
	}()
	for range 1000 {
		remove := network.AddFault(&Fault{From: []int{1}, To: []int{2}, Partitioned: true})
		remove()
	}
	<-done
	if !network.Reachable(1, 2) {
		t.Error("a removed fault still cuts the path")
	}
}
