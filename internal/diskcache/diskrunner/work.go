package diskrunner

import (
	"errors"
	"sync/atomic"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

// read is a part on its way from the disk.
type read struct {
	ask   *Request
	found diskcache.LookupResult
	sure  bool
	rule  int
	over  atomic.Bool // nobody waits any more, or the copy was handed over
	done  chan *Copy
}

func (s *Cache) readAll() {
	for {
		select {
		case <-s.stop: // whoever waits yet goes on after its wait
			return
		case r := <-s.reads:
			c := s.read(r)
			if r.over.CompareAndSwap(false, true) {
				r.done <- c
			} else if c != nil {
				c.Release()
			}
		}
	}
}

// read reads one part; nil: it is not to be had.
func (s *Cache) read(r *read) *Copy {
	began := time.Now()
	rec, from, err := s.store.Read(r.found.Extents, r.found.Length)
	end := diskcache.ReadIntact
	var body *bufferpool.Body
	if err == nil && rec.BodyBytes > 0 {
		body, err = s.bodies.ReadBody(from, rec.BodyBytes)
	}
	switch {
	case errors.Is(err, bufferpool.ErrFull):
		end = diskcache.ReadUnused
	case err != nil || !from.Intact() || rec.Seq != r.found.Ref.Seq():
		end = diskcache.ReadCorrupt
	case rec.Class != r.ask.Class || rec.Object != r.ask.Object || rec.Part != r.ask.Part || rec.Group != r.ask.Group:
		end = diskcache.ReadUnused
	}
	s.mu.Lock()
	usable, changed := s.tier.FinishRead(s.now(), r.found.Ref, end)
	s.took.RecordValue(max(time.Since(began).Microseconds(), 1))
	health := s.tier.Health()
	s.mu.Unlock()
	if changed {
		s.log.WithError(err).WithField("health", health.String()).Error("disk tier: fault of the disk")
	}
	if !usable {
		body.Release()
		return nil
	}
	return &Copy{
		Body: body, Tag: rec.Tag, Fresh: r.sure, shelf: s, ref: r.found.Ref, rule: r.rule,
		standIn: r.found.StaleIfError,
	}
}

// write is a copy on its way to the disk.
type write struct {
	place diskcache.Placement
	rec   diskstore.Record
	body  *bufferpool.Body
	entry diskstore.Entry
}

// batch is what the index has not been told.
type batch struct {
	puts  []diskstore.Entry
	drops []diskcache.Drop
	bytes int
}

// commitAt is when a batch is synced before its time: longer ones hold reads up.
const commitAt = 8 << 20

// writeAll is the life of the one goroutine that writes.
func (s *Cache) writeAll() {
	every := time.NewTicker(time.Duration(s.config.Settings.SyncInterval) * time.Microsecond)
	defer every.Stop()
	var b batch
	for open := true; open; {
		select {
		case w := <-s.writes:
			s.write(w, &b)
			if b.bytes >= commitAt {
				s.commit(&b)
			}
		case <-every.C:
			s.commit(&b)
		case <-s.stop:
			open = false
		}
	}
	for {
		select {
		case w := <-s.writes:
			s.write(w, &b)
			continue
		default:
		}
		break
	}
	s.commit(&b)
	s.fault(diskcache.EventClosed, nil)
}

func (s *Cache) write(w *write, b *batch) {
	defer w.body.Release()
	s.mu.Lock()
	wanted := s.tier.WriteNeeded(w.place.Ref) && s.tier.Health() == diskcache.HealthOn
	s.mu.Unlock()
	var err error
	if wanted {
		err = s.store.Write(w.place.Extents, &w.rec, w.body.AppendBuffers(nil))
	}
	s.mu.Lock()
	written := s.tier.FinishWrite(w.place.Ref, w.entry.Length, wanted && err == nil)
	s.mu.Unlock()
	if err != nil {
		s.fault(faultOf(err), err)
	}
	if written {
		b.puts = append(b.puts, w.entry)
		b.bytes += w.entry.Length
	}
}

func faultOf(err error) diskcache.Event {
	if diskstore.IsNoSpace(err) {
		return diskcache.EventNoSpace
	}
	return diskcache.EventWriteFailed
}

// commit makes a batch last. On a full disk it is kept and tried again; after
// any other fault nothing more is written.
func (s *Cache) commit(b *batch) {
	s.mu.Lock()
	now := s.now()
	s.tier.Sweep(now)
	health := s.tier.Health()
	if health == diskcache.HealthOn {
		b.drops = append(b.drops, s.tier.TakeDrops()...)
	}
	live := s.tier.Size().Parts
	s.mu.Unlock()
	if health != diskcache.HealthOn {
		return
	}
	err := s.store.Commit(b.puts, b.drops)
	if err == nil {
		*b = batch{puts: b.puts[:0], drops: b.drops[:0]}
		s.mu.Lock()
		s.tier.Synced()
		s.mu.Unlock()
		if s.store.NeedsCompaction(live) {
			err = s.compact()
		}
	}
	if err != nil {
		s.fault(faultOf(err), err)
	}
}

func (s *Cache) compact() error {
	began := time.Now()
	var some []diskstore.Entry
	parts := 0
	err := s.store.Compact(func(tell func(*diskstore.Entry) error) error {
		for from := 0; from >= 0; {
			some = some[:0]
			s.mu.Lock()
			from = s.tier.Scan(from, func(k diskcache.CachedPart) {
				some = append(some, diskstore.Entry{
					Key: k.Key, Object: k.Object, Issued: k.Issued, Seq: k.Seq,
					Length: k.Length, ClassHash: diskstore.ClassHash(s.config.Settings.Classes[k.ClassIndex].Name), Group: k.Group, Extents: k.Extents,
				})
			})
			s.mu.Unlock()
			for i := range some {
				if err := tell(&some[i]); err != nil {
					return err
				}
			}
			parts += len(some)
		}
		return nil
	})
	s.log.WithField("parts", parts).WithField("took_ms", time.Since(began).Milliseconds()).Debug("disk tier: index written anew")
	return err
}
