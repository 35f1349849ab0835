package invariant

import "sync"

// Activity are what a process did since its last word.
type Activity struct {
	Endpoints         []EndpointUse `cbor:"1,keyasint,omitempty"`
	Responses         []Response    `cbor:"2,keyasint,omitempty"`
	DuplicateAttempts int           `cbor:"3,keyasint,omitempty"` // hops of unrepeatable txns beside one that may have run
	Dropped           int           `cbor:"4,keyasint,omitempty"` // acts that found no room
}

// EndpointUse are a server's hops.
type EndpointUse struct {
	_                 struct{} `cbor:",toarray"`
	Endpoint          string
	LastSentMicros    int64   // when the last one went there, Unix microseconds; 0: none
	LastSourcedMicros int64   // when it was named as source last
	WorkMicros        float64 // of all of them, microseconds of sending time
}

// Response is a read's.
type Response struct {
	_            struct{} `cbor:",toarray"`
	Object       uint64   // its name's xxHash64
	Group        int64
	SentMicros   int64 // when its hop went out
	IssuedMicros int64 // when the origin gave the copy out
}

// Bounds of a word.
const (
	mostSent    = 512
	mostAnswers = 256
	// samples of a remap rule's sending times that its mean is taken from
	samples = 64
)

// Recorder gathers acts, for any goroutine. Nil gathers nothing.
type Recorder struct {
	mu    sync.Mutex
	sent  map[string]*EndpointUse
	acts  Activity
	works map[string][]float64 // by remap rule
}

// NewRecorder gathers from now on.
func NewRecorder() *Recorder {
	return &Recorder{sent: map[string]*EndpointUse{}, works: map[string][]float64{}}
}

// RecordAttempt notes one that goes out. Source "": nothing is filled. Its work is the mean of
// what the rule's answers took to send lately.
func (r *Recorder) RecordAttempt(now int64, to, source, rule string, twice bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if twice {
		r.acts.DuplicateAttempts++
	}
	work, list := 0.0, r.works[rule]
	for _, w := range list {
		work += w / float64(len(list))
	}
	if s := r.of(to); s != nil {
		s.LastSentMicros, s.WorkMicros = now, s.WorkMicros+work
	}
	if source == "" || source == to {
		return
	}
	if s := r.of(source); s != nil {
		s.LastSourcedMicros, s.WorkMicros = now, s.WorkMicros+work
	}
}

func (r *Recorder) of(server string) *EndpointUse {
	s := r.sent[server]
	if s == nil {
		if len(r.sent) >= mostSent {
			r.acts.Dropped++
			return nil
		}
		s = &EndpointUse{Endpoint: server}
		r.sent[server] = s
	}
	return s
}

// RecordResponse notes a read's answer; took is its sending time, 0: not known.
func (r *Recorder) RecordResponse(rule, object string, group, sent, issued int64, took float64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if took > 0 {
		list := append(r.works[rule], took)
		r.works[rule] = list[max(len(list)-samples, 0):]
	}
	if issued <= 0 {
		return
	}
	if len(r.acts.Responses) >= mostAnswers {
		r.acts.Dropped++
		return
	}
	r.acts.Responses = append(r.acts.Responses, Response{Object: hash(object), Group: group, SentMicros: sent, IssuedMicros: issued})
}

// Take empties it.
func (r *Recorder) Take() *Activity {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.acts
	for _, s := range r.sent {
		a.Endpoints = append(a.Endpoints, *s)
	}
	r.acts, r.sent = Activity{}, map[string]*EndpointUse{}
	return &a
}
