package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// childVariable is the environment variable that makes the test binary a child process: it
// reserves addresses, prints one per line and runs until its standard input ends.
const childVariable = "QUILLDOOR_TEST_RESERVE"

const addressesPerChild = 20

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	firstTried = 0 // all child processes try the same block first
	for range addressesPerChild {
		address, err := Reserve()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(address)
	}
	if _, err := io.Copy(io.Discard, os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func reserve(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func TestNoAddressTwiceInAProcess(t *testing.T) {
	var mutex sync.Mutex
	var reservers sync.WaitGroup
	seen := map[netip.AddrPort]bool{}
	for range 4 {
		reservers.Go(func() {
			for range addressesPerBlock/4 + 50 { // more in all than a block has
				address, err := Reserve()
				mutex.Lock()
				if err != nil || seen[address] {
					t.Errorf("%v was reserved twice, or the reservation failed: %v", address, err)
				}
				seen[address] = true
				mutex.Unlock()
			}
		})
	}
	reservers.Wait()
	if len(held) < 2 {
		t.Errorf("%d blocks for %d addresses, want 2 or more", len(held), len(seen))
	}
}

// Processes that run at the same time never share a block, even if they try the same one
// first.
func TestNoAddressTwiceAmongProcesses(t *testing.T) {
	seen := map[string]bool{}
	for range 12 {
		for _, address := range startChild(t) {
			if seen[address] {
				t.Errorf("%s was reserved by two processes", address)
			}
			seen[address] = true
		}
	}
}

// startChild starts a process that runs until the test ends, and returns the addresses
// that the process has reserved.
func startChild(t *testing.T) (addresses []string) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	child.Stderr = os.Stderr
	input, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		input.Close()
		if err := child.Wait(); err != nil {
			t.Error(err)
		}
	})
	lines := bufio.NewScanner(output)
	for len(addresses) < addressesPerChild && lines.Scan() {
		addresses = append(addresses, lines.Text())
	}
	if len(addresses) < addressesPerChild {
		t.Fatalf("the child process printed %d addresses, want %d", len(addresses), addressesPerChild)
	}
	return addresses
}

// A claim passes over the blocks that are held, as when two processes try the same block
// first.
func TestATakenBlockIsPassedOver(t *testing.T) {
	reserve(t)
	mutex.Lock()
	defer mutex.Unlock()
	before := current
	for range 3 {
		if err := claimBlock(); err != nil {
			t.Fatal(err)
		}
		if current.network == before.network {
			t.Fatalf("block %d was claimed twice", current.network)
		}
		before = current
	}
}

func TestAnAddressInUseIsPassedOver(t *testing.T) {
	reserve(t)
	for _, network := range []string{"tcp", "udp"} {
		mutex.Lock()
		ahead := *current
		mutex.Unlock()
		used := ahead.next()
		socket := bind(t, network, used)
		if got := reserve(t); got == used {
			t.Errorf("%v was reserved while it is in use for %s", used, network)
		}
		socket.Close()
	}
}

func bind(t *testing.T, network string, address netip.AddrPort) io.Closer {
	t.Helper()
	var socket io.Closer
	var err error
	if network == "udp" {
		socket, err = net.ListenPacket(network, address.String())
	} else {
		socket, err = net.Listen(network, address.String())
	}
	if err != nil {
		t.Fatal(err)
	}
	return socket
}

// The kernel assigns a reserved port neither to an outgoing connection nor to a listener
// at port 0, even at the reserved host.
func TestTheKernelGivesOutNoReservedPort(t *testing.T) {
	address := reserve(t)
	listener := bind(t, "tcp", address)
	defer listener.Close()
	first, err := portsOutsideEphemeral()
	if err != nil {
		t.Fatal(err)
	}
	isReserved := func(a net.Addr) bool {
		port := int(netip.MustParseAddrPort(a.String()).Port())
		return port >= first && port < first+portsPerHost
	}
	host := address.Addr().String()
	for range 500 {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		other, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		if isReserved(conn.LocalAddr()) || isReserved(other.Addr()) {
			t.Fatalf("a port is reserved: the kernel assigned %v and %v", conn.LocalAddr(), other.Addr())
		}
		conn.Close()
		other.Close()
	}
}

func TestPortsBesideTheEphemeralRange(t *testing.T) {
	for _, test := range []struct{ low, high, want int }{
		{32768, 60999, 32768 - portsPerHost},
		{1024 + portsPerHost, 65535, 1024},
		{1024, 65000, 65001},
		{1024, 65535 - portsPerHost, 65536 - portsPerHost},
	} {
		if got, err := portsBeside(test.low, test.high); got != test.want || err != nil {
			t.Errorf("%d to %d: %d, %v; want %d", test.low, test.high, got, err, test.want)
		}
	}
	if _, err := portsBeside(1024, 65535); err == nil || !strings.Contains(err.Error(), "leaves no") {
		t.Errorf("ports found although the range leaves none: %v", err)
	}
}

// Guards against a reserved address that is in use: a child process between its fork and
// its exec once held open the sockets by which Reserve checks that the address is free.
func TestReservedAddressIsFreeWhileProcessesStart(t *testing.T) {
	const addresses = 300
	done := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if err := exec.Command(os.Args[0], "-test.run=^$").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range addresses {
		listener, err := net.Listen("tcp", reserve(t).String())
		if err != nil {
			t.Error(err)
			break
		}
		listener.Close()
	}
	close(done)
	starters.Wait()
}
