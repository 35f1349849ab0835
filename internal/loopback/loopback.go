// Package loopback reserves addresses for sockets that are bound later: by another
// process, or again after they were closed.
//
// Whoever can should bind port 0 and keep the listener instead. Where that is not
// possible, a port that was found free and closed again may be taken before it is used.
// Nobody takes an address from here, for three reasons. Each process holds blocks of
// its own, 127.x.y.0/24, as long as it runs. Within a process no address is given out
// twice. And the ports lie outside the range from which the kernel serves connections
// and binds to port 0.
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
	firstNetwork    = 64 // x of the first block, 127.64.0.0/24
	networks        = 64
	blocks          = networks * 256
	holderHost      = 1 // its listener marks the block as taken
	firstHost       = 2
	hosts           = 200
	portsPerHost    = 100
	addressesEach   = hosts * portsPerHost
	firstUserPort   = 1024 // below are the ports that need privileges
	lastPort        = 65535
	ephemeralConfig = "/proc/sys/net/ipv4/ip_local_port_range"
)

// block is a network 127.x.y.0/24 that only this process binds addresses of.
type block struct {
	network   int // from 0 to blocks-1
	firstPort int
	given     int // how many of its addresses were given out
	holder    net.Listener
}

var (
	mutex   sync.Mutex
	current *block
	held    []*block // all of this process: their listeners stay open until it ends

	// firstTried is the block that is tried first. Processes that start together seldom
	// try the same one.
	firstTried = os.Getpid()
)

// Reserve gives out an address that is free for TCP and UDP and that nobody but the
// caller binds while this process runs. There is no need to give it back.
func Reserve() (netip.AddrPort, error) {
	mutex.Lock()
	defer mutex.Unlock()
	for {
		if current == nil || current.given == addressesEach {
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

// claimBlock makes a block that no process holds the current one.
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
	return fmt.Errorf("all %d blocks are taken", blocks)
}

// next is the block's next address. The host changes before the port does.
func (b *block) next() netip.AddrPort {
	n := b.given
	b.given++
	return b.address(firstHost+n%hosts, b.firstPort+n/hosts)
}

func (b *block) address(host, port int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(firstNetwork + b.network/256), byte(b.network % 256), byte(host)})
	return netip.AddrPortFrom(ip, uint16(port))
}

// portsOutsideEphemeral is the first of portsPerHost ports that the kernel gives to
// nobody by itself.
func portsOutsideEphemeral() (first int, err error) {
	text, err := os.ReadFile(ephemeralConfig)
	if err != nil {
		return 0, err
	}
	var low, high int
	if _, err := fmt.Sscan(string(text), &low, &high); err != nil {
		return 0, fmt.Errorf("%s: %w", ephemeralConfig, err)
	}
	return portsBeside(low, high)
}

func portsBeside(low, high int) (first int, err error) {
	if low-portsPerHost >= firstUserPort {
		return low - portsPerHost, nil
	}
	if high+portsPerHost <= lastPort {
		return high + 1, nil
	}
	return 0, fmt.Errorf("%s: %d to %d leaves no %d ports", ephemeralConfig, low, high, portsPerHost)
}

// cloneProbeProcess has package os try out process descriptors now. It does so once in a
// process, before the first child, by a clone that does not take ForkLock.
var cloneProbeProcess = sync.OnceFunc(func() {
	if process, err := os.FindProcess(os.Getpid()); err == nil {
		_ = process.Release()
	}
})

// isFree tells whether an address can be bound for both TCP and UDP.
func isFree(address netip.AddrPort) (bool, error) {
	// A process that is forked meanwhile would have the sockets open until its exec.
	cloneProbeProcess()
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
