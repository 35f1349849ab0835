package simulation

// share is something that its jobs use in equal parts: the cores of a cache, a
// link. It is processor sharing, reckoned by virtual time (Parekh and Gallager,
// 1993): each job ends when the service that every job has had reaches its mark,
// so that an arrival costs the logarithm of the jobs.
type share struct {
	w      *World
	total  float64 // in a microsecond, over all jobs
	most   float64 // for one of them
	had    float64 // service that a job there since the start would have had
	at     int64
	jobs   jobs
	timer  int64 // the number of the event that counts; older ones are void
	served float64
}

type job struct {
	ends  float64 // of had
	seq   int64
	place int // in the heap; -1: over
	of    *share
	done  func()
}

type jobs []*job

func (h jobs) less(i, j int) bool {
	return h[i].ends < h[j].ends || h[i].ends == h[j].ends && h[i].seq < h[j].seq
}

func (h jobs) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h jobs) up(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h jobs) down(i int) {
	for {
		least := i
		for _, c := range [2]int{2*i + 1, 2*i + 2} {
			if c < len(h) && h.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

// rate is what each job gets in a microsecond.
func (s *share) rate() float64 {
	if len(s.jobs) == 0 {
		return 0
	}
	return min(s.most, s.total/float64(len(s.jobs)))
}

func (s *share) advance() {
	if now := s.w.now; now > s.at {
		rate := s.rate() * float64(now-s.at)
		s.had += rate
		s.served += rate * float64(len(s.jobs))
		s.at = now
	}
}

// add begins a job; done is called when it has had its work.
func (s *share) add(work float64, done func()) *job {
	s.advance()
	s.w.seq++
	j := &job{ends: s.had + work, seq: s.w.seq, place: len(s.jobs), of: s, done: done}
	s.jobs = append(s.jobs, j)
	s.jobs.up(j.place)
	s.set()
	return j
}

// remove ends a job before its time.
func (s *share) remove(j *job) {
	if j == nil || j.place < 0 {
		return
	}
	s.advance()
	s.take(j)
	s.set()
}

func (s *share) take(j *job) {
	i, last := j.place, len(s.jobs)-1
	s.jobs.swap(i, last)
	s.jobs[last] = nil
	s.jobs = s.jobs[:last]
	if i < last {
		s.jobs.down(i)
		s.jobs.up(i)
	}
	j.place = -1
}

// change sets new rates.
func (s *share) change(total, most float64) {
	s.advance()
	s.total, s.most = total, most
	s.set()
}

// set makes the next end an event.
func (s *share) set() {
	s.timer++
	rate := s.rate()
	if rate <= 0 {
		return
	}
	left := (s.jobs[0].ends - s.had) / rate
	timer := s.timer
	s.w.after(int64(left)+1, func() {
		if timer == s.timer {
			s.due()
		}
	})
}

func (s *share) due() {
	s.advance()
	const near = 1e-6 // of a unit: what rounding leaves
	var over []*job
	for len(s.jobs) > 0 && s.jobs[0].ends <= s.had+near {
		over = append(over, s.jobs[0])
		s.take(s.jobs[0])
	}
	s.set()
	for _, j := range over {
		j.done()
	}
}
