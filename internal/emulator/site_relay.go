package emulator

import (
	"net"
	"time"
)

// startRelay passes connections on, late by the way between sites. While they are cut
// bytes wait, as they do with TCP.
func (v *socketRun) startRelay(to string) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v.goroutines.Go(func() {
		<-v.ctx.Done()
		listener.Close()
	})
	v.goroutines.Go(func() {
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
			v.goroutines.Go(func() { v.relayDelayed(client, server) })
			v.goroutines.Go(func() { v.relayDelayed(server, client) })
		}
	})
	return listener.Addr().String(), nil
}

func (v *socketRun) relayDelayed(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	delay := time.Duration(v.scenario.Fleet.SiteMS * float64(time.Millisecond))
	type chunk struct {
		at time.Time
		b  []byte
	}
	chunks := make(chan chunk, 1024)
	v.goroutines.Go(func() {
		defer to.Close()
		defer from.Close()
		for {
			select {
			case <-v.ctx.Done():
				return
			case p, open := <-chunks:
				if !open {
					return
				}
				time.Sleep(time.Until(p.at.Add(delay)))
				for v.sitesCut.Load() && v.ctx.Err() == nil {
					time.Sleep(5 * time.Millisecond)
				}
				if _, err := to.Write(p.b); err != nil {
					return
				}
			}
		}
	})
	defer close(chunks)
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if err != nil {
			return
		}
		select {
		case chunks <- chunk{time.Now(), b[:n]}:
		case <-v.ctx.Done():
			return
		}
	}
}
