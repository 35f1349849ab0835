package invariant

import "sync"

// Bounds of an Activity.
const (
	maxRecordedEndpoints = 512
	maxRecordedResponses = 256
)

// maxSendTimes is the number of latest sending times of a traffic class that its mean
// covers.
const maxSendTimes = 64

// Recorder records the activity of a process. It is safe for concurrent use; a nil
// Recorder records nothing.
type Recorder struct {
	mu        sync.Mutex
	endpoints map[string]*EndpointUse
	activity  Activity             // its Endpoints are filled in by Take
	sendTimes map[string][]float64 // the latest ones by traffic class, microseconds
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{endpoints: map[string]*EndpointUse{}, sendTimes: map[string][]float64{}}
}

// RecordAttempt records an attempt that is sent to an endpoint now, and the source that
// the endpoint fills from ("": none). Its work is estimated as the mean sending time of the
// latest responses of its traffic class. An attempt of a request that is not idempotent is
// a duplicate if another attempt may have been executed.
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
	if use := r.endpointUse(endpoint); use != nil {
		use.LastSentMicros = now
		use.WorkMicros += work
	}
	if source == "" || source == endpoint {
		return
	}
	if use := r.endpointUse(source); use != nil {
		use.LastSourcedMicros = now
		use.WorkMicros += work
	}
}

func (r *Recorder) meanSendTime(class string) (mean float64) {
	times := r.sendTimes[class]
	for _, sendTime := range times {
		mean += sendTime / float64(len(times))
	}
	return mean
}

// endpointUse returns an endpoint's record, which it creates if need be; nil: there are
// maxRecordedEndpoints others.
func (r *Recorder) endpointUse(endpoint string) *EndpointUse {
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

// RecordResponse records the response to a read: when its attempt was sent, when the
// origin issued the copy (0: unknown), and how long the endpoint took to send the response,
// in microseconds (0: unknown).
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

// Take returns the activity recorded since the previous call; nil for a nil recorder.
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
