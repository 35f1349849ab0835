// Package loopback reserves addresses for sockets that are bound later: by another
// process, or again after they were closed.
//
// A caller that can bind port 0 and keep the listener should do so instead. Where that is
// not possible, a port that is free when it is checked may be bound by another process
// before its use. No other process binds an address from Reserve, for three reasons. Each
// process holds blocks of its own, 127.x.y.0/24, for as long as it runs. Within a process
// no address is reserved twice. And the ports lie outside the ephemeral range, from which
// the kernel assigns the ports of outgoing connections and of listeners at port 0.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
)

const (
	firstNetwork       = 64 // x of the first block, 127.64.0.0/24
	networks           = 64
	blocks             = networks * 256
	holderHost         = 1 // the listener at this host marks the block as held
	firstHost          = 2
	hosts              = 200
	portsPerHost       = 100
	addressesPerBlock  = hosts * portsPerHost
	firstUserPort      = 1024 // lower ports require privileges
	lastPort           = 65535
	ephemeralRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"
)

// block is a network 127.x.y.0/24 whose addresses only this process binds.
type block struct {
	network   int // from 0 to blocks-1
	firstPort int
	reserved  int // number of its addresses that next has returned
	holder    net.Listener
}

var (
	mutex   sync.Mutex
	current *block
	held    []*block // all blocks of this process: their listeners stay open until it ends

	// firstTried is the block that is tried first. Processes that start together seldom
	// try the same one.
	firstTried = os.Getpid()
)

// Reserve returns an address that is free for TCP and UDP and that only the caller binds
// while this process runs. Addresses need not be released.
func Reserve() (netip.AddrPort, error) {
	mutex.Lock()
	defer mutex.Unlock()
	for {
		if current == nil || current.reserved == addressesPerBlock {
			if err := claimBlock(); err != nil {
				return netip.AddrPort{}, fmt.Errorf("reserving an address on loopback: %w", err)
			}
		}
		address := current.next()
		// A process that outlived the block's previous holder may still listen there.
		free, err := isFree(address)
		if err != nil {
			return netip.AddrPort{}, fmt.Errorf("reserving an address on loopback: %w", err)
		}
		if free {
			return address, nil
		}
	}
}

// claimBlock claims a block that no process holds and makes it the current one.
func claimBlock() error {
	firstPort, err := portsOutsideEphemeral()
	if err != nil {
		return err
	}
	for i := range blocks {
		candidate := &block{network: (firstTried + i) % blocks, firstPort: firstPort}
		candidate.holder, err = net.Listen("tcp", candidate.address(holderHost, firstPort).String())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return err
		}
		held = append(held, candidate)
		current = candidate
		return nil
	}
	return fmt.Errorf("all %d blocks of loopback addresses are held", blocks)
}

// next returns the block's next address. It goes through all hosts before the port changes.
func (b *block) next() netip.AddrPort {
	n := b.reserved
	b.reserved++
	return b.address(firstHost+n%hosts, b.firstPort+n/hosts)
}

func (b *block) address(host, port int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(firstNetwork + b.network/256), byte(b.network % 256), byte(host)})
	return netip.AddrPortFrom(ip, uint16(port))
}

// portsOutsideEphemeral returns the first of portsPerHost consecutive ports outside the
// kernel's ephemeral range.
func portsOutsideEphemeral() (first int, err error) {
	text, err := os.ReadFile(ephemeralRangeFile)
	if err != nil {
		return 0, err
	}
	var low, high int
	if _, err := fmt.Sscan(string(text), &low, &high); err != nil {
		return 0, fmt.Errorf("parsing %s: %w", ephemeralRangeFile, err)
	}
	return portsBeside(low, high)
}

// portsBeside returns the first of portsPerHost consecutive ports below low or above high.
func portsBeside(low, high int) (first int, err error) {
	if low-portsPerHost >= firstUserPort {
		return low - portsPerHost, nil
	}
	if high+portsPerHost <= lastPort {
		return high + 1, nil
	}
	return 0, fmt.Errorf("%s: the range %d to %d leaves no %d ports", ephemeralRangeFile, low, high, portsPerHost)
}

// probeProcessDescriptors makes package os check now whether process descriptors work. The check
// runs once in a process, at the latest before its first child, and clones the process without
// taking ForkLock: a clone during isFree would inherit the sockets.
var probeProcessDescriptors = sync.OnceFunc(func() {
	if process, err := os.FindProcess(os.Getpid()); err == nil {
		_ = process.Release()
	}
})

// isFree reports whether an address can be bound for both TCP and UDP.
func isFree(address netip.AddrPort) (bool, error) {
	// ForkLock keeps out child processes: one that is forked while the sockets are open would
	// inherit them and hold the address until its exec.
	probeProcessDescriptors()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err == nil {
		defer listener.Close()
		var conn *net.UDPConn
		if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err == nil {
			conn.Close()
		}
	}
	if errors.Is(err, syscall.EADDRINUSE) {
		return false, nil
	}
	return err == nil, err
}
