package simulation

import (
	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/scenario"
)

const (
	// stopProbability is that of a viewer to stop after a part, meanPartsWatched the mean number of parts that
	// follows from it and from the lengths of videos.
	stopProbability  = 0.1
	meanPartsWatched = 7.2

	// A viewer asks for the next part after a uniformly distributed time.
	minPartInterval    = 400 * millisecond
	partIntervalSpread = 350 * millisecond
)

// clientPopulation creates the clients: pages and writes one by one, videos as viewers who ask for part after part.
type clientPopulation struct {
	requestCount uint64
	interarrival distuv.Exponential // with mean 1
}

// viewer is a client that watches a video from its start.
type viewer struct {
	office int
	object int64
	part   int64 // the next one
}

// startClients begins each office's arrivals and the drift of the objects' popularity.
func (w *Simulation) startClients() {
	w.clients.interarrival = distuv.Exponential{Rate: 1, Src: w.random}
	for office := range w.scenario.Fleet.Offices {
		w.schedule(0, func() { w.clientArrival(office) })
	}
	if w.scenario.Load.DriftS > 0 {
		w.scheduleDrift()
	}
}

// scheduleDrift changes the objects' popularity at regular intervals.
func (w *Simulation) scheduleDrift() {
	w.schedule(int64(w.scenario.Load.DriftS*second), func() {
		w.catalogue.drift(w.random)
		w.scheduleDrift()
	})
}

// clientArrival schedules an office's next arrival, a Poisson process, and begins the request of this one.
func (w *Simulation) clientArrival(office int) {
	load := &w.scenario.Load
	if w.now >= w.clientsUntil {
		return
	}
	offices := w.scenario.Fleet.Offices
	rate := load.RequestsPerS / float64(offices) * w.loadFactor * load.Weight(office, offices)
	page := 1 - load.VideoShare - load.WriteShare
	video := load.VideoShare / meanPartsWatched
	total := page + video + load.WriteShare
	w.schedule(int64(w.clients.interarrival.Rand()*second/(rate*total))+1, func() { w.clientArrival(office) })
	switch draw := w.random.Float64() * total; {
	case draw < load.WriteShare:
		object := w.catalogue.newOneTimeObject(scenario.ClassPage)
		w.beginRequest(&client{office: office, class: scenario.ClassAccept, object: object})
	case draw < load.WriteShare+page:
		object := w.pickObject(scenario.ClassPage, office)
		w.beginRequest(&client{office: office, class: scenario.ClassPage, object: object})
	default:
		w.watchVideo(&viewer{office: office, object: w.pickObject(scenario.ClassVideo, office)})
	}
}

// pickObject draws the object of a request: by popularity, or one that is wanted once while that fault is in force.
func (w *Simulation) pickObject(class, office int) int64 {
	if w.oneTimeShare > 0 && w.random.Float64() < w.oneTimeShare {
		return w.catalogue.newOneTimeObject(class)
	}
	return w.catalogue.draw(class, office)
}

// watchVideo requests a video's next part, and schedules the one after it unless the viewer stops.
func (w *Simulation) watchVideo(viewer *viewer) {
	w.beginRequest(&client{
		office: viewer.office, class: scenario.ClassVideo, object: viewer.object, part: viewer.part,
	})
	viewer.part++
	more := w.now < w.clientsUntil && viewer.part < w.catalogue.parts(viewer.object)
	if more && w.random.Float64() > stopProbability {
		interval := int64(minPartInterval + w.random.Float64()*partIntervalSpread)
		w.schedule(interval, func() { w.watchVideo(viewer) })
	}
}

// beginRequest starts a client's request with its first attempt.
func (w *Simulation) beginRequest(client *client) {
	load := &w.scenario.Load
	client.startedAt = w.now
	client.honoursRetryAfter = w.random.Float64() < load.HonourShare
	client.timeLimit = int64(float64(w.classes[client.class].Timeout) * load.Patience)
	client.phase = w.currentPhase()
	w.Result.countRequest(w, client)
	w.openRequests++
	w.sendRequest(client)
}
