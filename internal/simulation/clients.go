package simulation

import (
	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/scenario"
)

const (
	// stopProbability is the probability that a viewer stops after a part. meanPartsWatched is the resulting mean
	// number of parts of a viewer, given the lengths of videos.
	stopProbability  = 0.1
	meanPartsWatched = 7.2

	// A viewer requests the next part after a uniformly distributed time.
	minPartInterval    = 400 * millisecond
	partIntervalSpread = 350 * millisecond
)

// clientPopulation is the state of the clients' arrivals. Pages and writes are single requests; a video is requested
// part by part by a viewer.
type clientPopulation struct {
	requestCount uint64
	interarrival distuv.Exponential // with mean 1
}

// viewer is a client that watches a video from its start.
type viewer struct {
	office int
	object int64
	part   int64 // the next part to request
}

// startClients starts each office's arrivals and the drift of the objects' popularity.
func (s *Simulation) startClients() {
	s.clients.interarrival = distuv.Exponential{Rate: 1, Src: s.random}
	for office := range s.scenario.Fleet.Offices {
		s.schedule(0, func() { s.clientArrival(office) })
	}
	if s.scenario.Load.DriftS > 0 {
		s.scheduleDrift()
	}
}

// scheduleDrift schedules a change of the objects' popularity at regular intervals.
func (s *Simulation) scheduleDrift() {
	s.schedule(int64(s.scenario.Load.DriftS*second), func() {
		s.catalogue.drift(s.random)
		s.scheduleDrift()
	})
}

// clientArrival schedules an office's next arrival and begins the request of the present one. Arrivals are a Poisson
// process.
func (s *Simulation) clientArrival(office int) {
	load := &s.scenario.Load
	if s.now >= s.clientsUntil {
		return
	}
	offices := s.scenario.Fleet.Offices
	rate := load.RequestsPerS / float64(offices) * s.loadFactor * load.Weight(office, offices)
	page := 1 - load.VideoShare - load.WriteShare
	video := load.VideoShare / meanPartsWatched
	total := page + video + load.WriteShare
	s.schedule(int64(s.clients.interarrival.Rand()*second/(rate*total))+1, func() { s.clientArrival(office) })
	switch draw := s.random.Float64() * total; {
	case draw < load.WriteShare:
		object := s.catalogue.newOneTimeObject(scenario.ClassPage)
		s.beginRequest(&clientRequest{office: office, class: scenario.ClassAccept, object: object})
	case draw < load.WriteShare+page:
		object := s.pickObject(scenario.ClassPage, office)
		s.beginRequest(&clientRequest{office: office, class: scenario.ClassPage, object: object})
	default:
		s.watchVideo(&viewer{office: office, object: s.pickObject(scenario.ClassVideo, office)})
	}
}

// pickObject draws the object of a request by popularity. While a fault of one-time objects is in force, a share of
// the requests is for a new one-time object instead.
func (s *Simulation) pickObject(class, office int) int64 {
	if s.oneTimeShare > 0 && s.random.Float64() < s.oneTimeShare {
		return s.catalogue.newOneTimeObject(class)
	}
	return s.catalogue.draw(class, office)
}

// watchVideo requests the next part of a viewer's video and schedules the request of the part after it unless the
// viewer stops.
func (s *Simulation) watchVideo(viewer *viewer) {
	s.beginRequest(&clientRequest{
		office: viewer.office, class: scenario.ClassVideo, object: viewer.object, part: viewer.part,
	})
	viewer.part++
	mayContinue := s.now < s.clientsUntil && viewer.part < s.catalogue.parts(viewer.object)
	if mayContinue && s.random.Float64() > stopProbability {
		interval := int64(minPartInterval + s.random.Float64()*partIntervalSpread)
		s.schedule(interval, func() { s.watchVideo(viewer) })
	}
}

// beginRequest starts a client's request and sends its first attempt.
func (s *Simulation) beginRequest(clientRequest *clientRequest) {
	load := &s.scenario.Load
	clientRequest.startedAt = s.now
	clientRequest.honoursRetryAfter = s.random.Float64() < load.RetryAfterShare
	clientRequest.timeLimit = int64(float64(s.classes[clientRequest.class].Timeout) * load.ClientTimeoutShare)
	clientRequest.phase = s.currentPhase()
	s.Result.countRequest(s, clientRequest)
	s.openRequests++
	s.sendRequest(clientRequest)
}
