package emulator

import (
	"net"
	"time"
)

const (
	// relayBufferBytes is the size of a relay's read buffer.
	relayBufferBytes = 16 << 10
	// relayQueueLength is the number of chunks that may be queued in one direction of a connection.
	relayQueueLength = 1024
	// cutPollInterval is how often a relay checks whether the sites are still cut.
	cutPollInterval = 5 * time.Millisecond
)

// startRelay starts a TCP relay to an address, with the latency between sites. While the sites are
// cut, the relay holds bytes back and keeps connections open, as TCP does during a network outage.
func (s *socketRun) startRelay(to string) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.goroutines.Go(func() {
		<-s.ctx.Done()
		listener.Close()
	})
	s.goroutines.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				client.Close()
				continue
			}
			s.goroutines.Go(func() { s.relayDelayed(client, server) })
			s.goroutines.Go(func() { s.relayDelayed(server, client) })
		}
	})
	return listener.Addr().String(), nil
}

// relayChunk holds bytes that are in transit and the time at which they were read.
type relayChunk struct {
	readAt time.Time
	bytes  []byte
}

// relayDelayed forwards one direction of a connection until either end closes it.
func (s *socketRun) relayDelayed(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	chunks := make(chan relayChunk, relayQueueLength)
	s.goroutines.Go(func() {
		defer to.Close()
		defer from.Close()
		s.writeDelayed(to, chunks)
	})
	defer close(chunks)
	for {
		buffer := make([]byte, relayBufferBytes)
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case chunks <- relayChunk{time.Now(), buffer[:n]}:
		case <-s.ctx.Done():
			return
		}
	}
}

// writeDelayed writes each chunk once the latency between sites has passed and the sites
// are not cut.
func (s *socketRun) writeDelayed(to net.Conn, chunks <-chan relayChunk) {
	latency := time.Duration(s.scenario.Fleet.SiteMS * float64(time.Millisecond))
	for {
		select {
		case <-s.ctx.Done():
			return
		case chunk, open := <-chunks:
			if !open {
				return
			}
			time.Sleep(time.Until(chunk.readAt.Add(latency)))
			for s.sitesCut.Load() && s.ctx.Err() == nil {
				time.Sleep(cutPollInterval)
			}
			if _, err := to.Write(chunk.bytes); err != nil {
				return
			}
		}
	}
}
