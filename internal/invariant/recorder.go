package invariant

import "sync"

// Bounds of an Activity.
const (
	maxRecordedEndpoints = 512
	maxRecordedResponses = 256
)

// maxSendTimes is how many sending times of a traffic class its mean is taken from.
const maxSendTimes = 64

// Recorder gathers the activity of a process. Any goroutine may use it; a nil one
// records nothing.
type Recorder struct {
	mu        sync.Mutex
	endpoints map[string]*EndpointUse
	activity  Activity             // without its endpoints
	sendTimes map[string][]float64 // latest ones by traffic class, microseconds
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{endpoints: map[string]*EndpointUse{}, sendTimes: map[string][]float64{}}
}

// RecordAttempt notes an attempt that is sent to an endpoint now, and the source that it
// is filled from; "": none. Its work is the mean sending time of the latest responses of
// its traffic class. A duplicate is an attempt beside one that may have been executed, of
// a request that is not idempotent.
func (r *Recorder) RecordAttempt(now int64, endpoint, source, class string, duplicate bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if duplicate {
		r.activity.DuplicateAttempts++
	}
	work := r.meanSendTime(class)
	if use := r.use(endpoint); use != nil {
		use.LastSentMicros = now
		use.WorkMicros += work
	}
	if source == "" || source == endpoint {
		return
	}
	if use := r.use(source); use != nil {
		use.LastSourcedMicros = now
		use.WorkMicros += work
	}
}

func (r *Recorder) meanSendTime(class string) (mean float64) {
	times := r.sendTimes[class]
	for _, t := range times {
		mean += t / float64(len(times))
	}
	return mean
}

// use returns an endpoint's record; nil: there are too many others.
func (r *Recorder) use(endpoint string) *EndpointUse {
	use := r.endpoints[endpoint]
	if use != nil {
		return use
	}
	if len(r.endpoints) >= maxRecordedEndpoints {
		r.activity.Dropped++
		return nil
	}
	use = &EndpointUse{Endpoint: endpoint}
	r.endpoints[endpoint] = use
	return use
}

// RecordResponse notes the response to a read: when its attempt was sent, when the origin
// issued the copy (0: not known), and how long the endpoint took to send it, in
// microseconds (0: not known).
func (r *Recorder) RecordResponse(class, object string, group, sent, issued int64, sendTime float64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if sendTime > 0 {
		times := append(r.sendTimes[class], sendTime)
		r.sendTimes[class] = times[max(len(times)-maxSendTimes, 0):]
	}
	if issued <= 0 {
		return
	}
	if len(r.activity.Responses) >= maxRecordedResponses {
		r.activity.Dropped++
		return
	}
	r.activity.Responses = append(r.activity.Responses, Response{
		Object: hashObject(object), Group: group, SentMicros: sent, IssuedMicros: issued,
	})
}

// Take returns what was recorded since it was last called; nil for a nil recorder.
func (r *Recorder) Take() *Activity {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	activity := r.activity
	for _, use := range r.endpoints {
		activity.Endpoints = append(activity.Endpoints, *use)
	}
	r.activity = Activity{}
	r.endpoints = map[string]*EndpointUse{}
	return &activity
}
