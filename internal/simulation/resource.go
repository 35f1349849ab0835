package simulation

// sharedResource is a resource that its jobs share equally, such as the cores of a cache or a link. It implements
// processor sharing in virtual time (Parekh and Gallager, 1993): the virtual service is the service that a job would
// have received if it had been present from the start, and each job ends when the virtual service reaches its finishAt.
// An arrival therefore takes time logarithmic in the number of jobs. The user chooses the unit of work and rates, such
// as core-microseconds or kilobytes.
type sharedResource struct {
	simulation      *Simulation
	totalRate       float64 // per microsecond, over all jobs
	maxJobRate      float64 // per microsecond, of one job
	virtualService  float64
	served          float64 // work done, over all jobs
	updatedAt       int64   // time up to which virtualService and served count
	jobs            jobHeap // in the order in which they end
	timerGeneration int64   // of the scheduled end of the next job; events of earlier generations do nothing
}

// job is a piece of work on a shared resource.
type job struct {
	resource *sharedResource
	finishAt float64 // virtual service at which the job ends
	sequence int64
	index    int // in the heap; -1: the job has ended
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

// advance adds the service since updatedAt. It must be called before jobs or rates change.
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

// add starts a job. done is called when its work is finished.
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

// remove cancels a job without calling its done. It does nothing for nil or a job that has ended.
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

// scheduleNext schedules the end of the job that ends next and invalidates earlier such events.
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
