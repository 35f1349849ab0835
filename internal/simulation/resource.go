package simulation

// sharedResource is a resource that its jobs share equally: the cores of a cache, a link. It is processor sharing in
// virtual time (Parekh and Gallager, 1993): the virtual service is what a job would have got that was there from the
// start, and each job ends when it reaches the job's mark. An arrival therefore costs the logarithm of the number of
// jobs. Work and rates are in a unit of the user's, such as core-microseconds or kilobytes.
type sharedResource struct {
	simulation      *Simulation
	totalRate       float64 // per microsecond, over all jobs
	maxJobRate      float64 // per microsecond, of one job
	virtualService  float64
	served          float64 // over all jobs
	updatedAt       int64   // time up to which virtualService and served count
	jobs            jobHeap // in the order in which they end
	timerGeneration int64   // of the event that is valid; older ones are void
}

// job is a piece of work on a shared resource.
type job struct {
	resource *sharedResource
	finishAt float64 // virtual service at which it ends
	sequence int64
	index    int // in the heap; -1: it has ended
	done     func()
}

// jobHeap is a binary heap of jobs by the virtual service at which they end.
type jobHeap []*job

func (h jobHeap) less(i, j int) bool {
	return h[i].finishAt < h[j].finishAt || h[i].finishAt == h[j].finishAt && h[i].sequence < h[j].sequence
}

func (h jobHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// jobRate is the rate that each job gets now.
func (r *sharedResource) jobRate() float64 {
	if len(r.jobs) == 0 {
		return 0
	}
	return min(r.maxJobRate, r.totalRate/float64(len(r.jobs)))
}

// advance counts the service up to now. It must be called before jobs or rates change.
func (r *sharedResource) advance() {
	now := r.simulation.now
	if now <= r.updatedAt {
		return
	}
	service := r.jobRate() * float64(now-r.updatedAt)
	r.virtualService += service
	r.served += service * float64(len(r.jobs))
	r.updatedAt = now
}

// add begins a job. done is called when its work is finished.
func (r *sharedResource) add(work float64, done func()) *job {
	r.advance()
	r.simulation.sequence++
	j := &job{
		resource: r, finishAt: r.virtualService + work, sequence: r.simulation.sequence, index: len(r.jobs), done: done,
	}
	r.jobs = append(r.jobs, j)
	siftUp(r.jobs, j.index)
	r.scheduleNext()
	return j
}

// remove cancels a job; its done is not called. A job that has ended is left alone.
func (r *sharedResource) remove(j *job) {
	if j == nil || j.index < 0 {
		return
	}
	r.advance()
	r.removeFromHeap(j)
	r.scheduleNext()
}

func (r *sharedResource) removeFromHeap(j *job) {
	i := j.index
	last := len(r.jobs) - 1
	r.jobs.swap(i, last)
	r.jobs[last] = nil
	r.jobs = r.jobs[:last]
	if i < last {
		siftDown(r.jobs, i)
		siftUp(r.jobs, i)
	}
	j.index = -1
}

// setRates changes the rates per microsecond.
func (r *sharedResource) setRates(totalRate, maxJobRate float64) {
	r.advance()
	r.totalRate = totalRate
	r.maxJobRate = maxJobRate
	r.scheduleNext()
}

// scheduleNext schedules the end of the next job to end and makes earlier such events void.
func (r *sharedResource) scheduleNext() {
	r.timerGeneration++
	rate := r.jobRate()
	if rate <= 0 {
		return
	}
	remaining := (r.jobs[0].finishAt - r.virtualService) / rate
	generation := r.timerGeneration
	r.simulation.schedule(int64(remaining)+1, func() {
		if generation == r.timerGeneration {
			r.finishDue()
		}
	})
}

// finishDue ends the jobs whose work is finished.
func (r *sharedResource) finishDue() {
	const tolerance = 1e-6 // of a unit of work, for rounding
	r.advance()
	var finished []*job
	for len(r.jobs) > 0 && r.jobs[0].finishAt <= r.virtualService+tolerance {
		finished = append(finished, r.jobs[0])
		r.removeFromHeap(r.jobs[0])
	}
	r.scheduleNext()
	for _, j := range finished {
		j.done()
	}
}
