package invariant

import "sync"

// Acts are what a process did since its last word.
type Acts struct {
	Sent    []Sent   `cbor:"1,keyasint,omitempty"`
	Answers []Answer `cbor:"2,keyasint,omitempty"`
	Twice   int      `cbor:"3,keyasint,omitempty"` // hops of unrepeatable txns beside one that may have run
	More    int      `cbor:"4,keyasint,omitempty"` // acts that found no room
}

// Sent are a server's hops.
type Sent struct {
	_      struct{} `cbor:",toarray"`
	Server string
	To     int64   // when the last one went there, Unix microseconds; 0: none
	From   int64   // when it was named as source last
	Work   float64 // of all of them, microseconds of sending time
}

// Answer is a read's.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Object uint64   // its name's xxHash64
	Group  int64
	Sent   int64 // when its hop went out
	Issued int64 // when the origin gave the copy out
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
	sent  map[string]*Sent
	acts  Acts
	works map[string][]float64 // by remap rule
}

// NewRecorder gathers from now on.
func NewRecorder() *Recorder {
	return &Recorder{sent: map[string]*Sent{}, works: map[string][]float64{}}
}

// Hop notes one that goes out. Source "": nothing is filled. Its work is the mean of
// what the rule's answers took to send lately.
func (r *Recorder) Hop(now int64, to, source, rule string, twice bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if twice {
		r.acts.Twice++
	}
	work, list := 0.0, r.works[rule]
	for _, w := range list {
		work += w / float64(len(list))
	}
	if s := r.of(to); s != nil {
		s.To, s.Work = now, s.Work+work
	}
	if source == "" || source == to {
		return
	}
	if s := r.of(source); s != nil {
		s.From, s.Work = now, s.Work+work
	}
}

func (r *Recorder) of(server string) *Sent {
	s := r.sent[server]
	if s == nil {
		if len(r.sent) >= mostSent {
			r.acts.More++
			return nil
		}
		s = &Sent{Server: server}
		r.sent[server] = s
	}
	return s
}

// Answered notes a read's answer; took is its sending time, 0: not known.
func (r *Recorder) Answered(rule, object string, group, sent, issued int64, took float64) {
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
	if len(r.acts.Answers) >= mostAnswers {
		r.acts.More++
		return
	}
	r.acts.Answers = append(r.acts.Answers, Answer{Object: hash(object), Group: group, Sent: sent, Issued: issued})
}

// Take empties it.
func (r *Recorder) Take() *Acts {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.acts
	for _, s := range r.sent {
		a.Sent = append(a.Sent, *s)
	}
	r.acts, r.sent = Acts{}, map[string]*Sent{}
	return &a
}
