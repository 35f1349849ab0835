package simulation

// sharedResource is something that its jobs use in equal parts: the cores of a cache, a
// link. It is processor sharing, reckoned by virtual time (Parekh and Gallager,
// 1993): each job ends when the service that every job has had reaches its mark,
// so that an arrival costs the logarithm of the jobs.
type sharedResource struct {
	world           *World
	totalRate       float64 // in a microsecond, over all jobs
	maxJobRate      float64 // for one of them
	virtualService  float64 // service that a job there since the start would have had
	updatedAt       int64
	jobs            jobHeap
	timerGeneration int64 // the number of the event that counts; older ones are void
	served          float64
}

type job struct {
	finishAt float64 // of had
	sequence int64
	index    int // in the heap; -1: over
	resource *sharedResource
	done     func()
}

type jobHeap []*job

func (h jobHeap) less(i, j int) bool {
	return h[i].finishAt < h[j].finishAt || h[i].finishAt == h[j].finishAt && h[i].sequence < h[j].sequence
}

func (h jobHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h jobHeap) siftUp(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h jobHeap) siftDown(i int) {
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

// jobRate is what each job gets in a microsecond.
func (s *sharedResource) jobRate() float64 {
	if len(s.jobs) == 0 {
		return 0
	}
	return min(s.maxJobRate, s.totalRate/float64(len(s.jobs)))
}

func (s *sharedResource) advance() {
	if now := s.world.now; now > s.updatedAt {
		service := s.jobRate() * float64(now-s.updatedAt)
		s.virtualService += service
		s.served += service * float64(len(s.jobs))
		s.updatedAt = now
	}
}

// add begins a job; done is called when it has had its work.
func (s *sharedResource) add(work float64, done func()) *job {
	s.advance()
	s.world.sequence++
	j := &job{finishAt: s.virtualService + work, sequence: s.world.sequence, index: len(s.jobs), resource: s, done: done}
	s.jobs = append(s.jobs, j)
	s.jobs.siftUp(j.index)
	s.scheduleNext()
	return j
}

// remove ends a job before its time.
func (s *sharedResource) remove(j *job) {
	if j == nil || j.index < 0 {
		return
	}
	s.advance()
	s.removeFromHeap(j)
	s.scheduleNext()
}

func (s *sharedResource) removeFromHeap(j *job) {
	i, last := j.index, len(s.jobs)-1
	s.jobs.swap(i, last)
	s.jobs[last] = nil
	s.jobs = s.jobs[:last]
	if i < last {
		s.jobs.siftDown(i)
		s.jobs.siftUp(i)
	}
	j.index = -1
}

// setRates sets new rates.
func (s *sharedResource) setRates(total, most float64) {
	s.advance()
	s.totalRate, s.maxJobRate = total, most
	s.scheduleNext()
}

// scheduleNext makes the next end an event.
func (s *sharedResource) scheduleNext() {
	s.timerGeneration++
	rate := s.jobRate()
	if rate <= 0 {
		return
	}
	remaining := (s.jobs[0].finishAt - s.virtualService) / rate
	generation := s.timerGeneration
	s.world.schedule(int64(remaining)+1, func() {
		if generation == s.timerGeneration {
			s.finishDue()
		}
	})
}

func (s *sharedResource) finishDue() {
	s.advance()
	const tolerance = 1e-6 // of a unit: what rounding leaves
	var finished []*job
	for len(s.jobs) > 0 && s.jobs[0].finishAt <= s.virtualService+tolerance {
		finished = append(finished, s.jobs[0])
		s.removeFromHeap(s.jobs[0])
	}
	s.scheduleNext()
	for _, j := range finished {
		j.done()
	}
}
