package emulator

import (
	"net"
	"time"
)

// relay passes connections on, late by the way between sites. While they are cut
// bytes wait, as they do with TCP.
func (v *sockets) relay(to string) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v.all.Go(func() {
		<-v.ctx.Done()
		l.Close()
	})
	v.all.Go(func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			v.all.Go(func() { v.pass(a, b) })
			v.all.Go(func() { v.pass(b, a) })
		}
	})
	return l.Addr().String(), nil
}

func (v *sockets) pass(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	way := time.Duration(v.set.Fleet.SiteMS * float64(time.Millisecond))
	type piece struct {
		at time.Time
		b  []byte
	}
	pieces := make(chan piece, 1024)
	v.all.Go(func() {
		defer to.Close()
		defer from.Close()
		for {
			select {
			case <-v.ctx.Done():
				return
			case p, more := <-pieces:
				if !more {
					return
				}
				time.Sleep(time.Until(p.at.Add(way)))
				for v.cut.Load() && v.ctx.Err() == nil {
					time.Sleep(5 * time.Millisecond)
				}
				if _, err := to.Write(p.b); err != nil {
					return
				}
			}
		}
	})
	defer close(pieces)
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if err != nil {
			return
		}
		select {
		case pieces <- piece{time.Now(), b[:n]}:
		case <-v.ctx.Done():
			return
		}
	}
}
