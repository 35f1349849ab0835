package simulation

import (
	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/scenario"
)

// clientPopulation is how requests come about: pages and acceptances one by one, videos
// as viewers who ask for part after part.
type clientPopulation struct {
	requestCount uint64
	interarrival distuv.Exponential
}

type viewer struct {
	office int
	object int64
	part   int64
}

func (w *World) startClients() {
	w.clients.interarrival = distuv.Exponential{Rate: 1, Src: w.random}
	for office := range w.scenario.Fleet.Offices {
		w.schedule(0, func() { w.clientArrival(office) })
	}
	if interval := w.scenario.Load.DriftS; interval > 0 {
		var drift func()
		drift = func() {
			w.catalogue.drift(w.random)
			w.schedule(int64(interval*1e6), drift)
		}
		w.schedule(int64(interval*1e6), drift)
	}
}

// meanPartsWatched is what a viewer asks for on average, with a chance of a tenth to
// stop after each.
const (
	meanPartsWatched = 7.2
	stopProbability  = 0.1
)

// clientArrival is one office's clients: the next comes by chance.
func (w *World) clientArrival(office int) {
	load := &w.scenario.Load
	if w.now >= w.clientsUntil {
		return
	}
	rate := load.RequestsPerS / float64(w.scenario.Fleet.Offices) * w.loadFactor * load.Weight(office, w.scenario.Fleet.Offices)
	page, video := 1-load.VideoShare-load.WriteShare, load.VideoShare/meanPartsWatched
	total := page + video + load.WriteShare
	w.schedule(int64(w.clients.interarrival.Rand()*1e6/(rate*total))+1, func() { w.clientArrival(office) })
	switch draw := w.random.Float64() * total; {
	case draw < load.WriteShare:
		w.beginRequest(&client{office: office, rule: scenario.ClassAccept, object: w.catalogue.newOneTimeObject(scenario.ClassPage)})
	case draw < load.WriteShare+page:
		w.beginRequest(&client{office: office, rule: scenario.ClassPage, object: w.pickObject(scenario.ClassPage, office)})
	default:
		viewer := &viewer{office: office, object: w.pickObject(scenario.ClassVideo, office)}
		w.watchVideo(viewer)
	}
}

func (w *World) pickObject(class, office int) int64 {
	if w.oneTimeShare > 0 && w.random.Float64() < w.oneTimeShare {
		return w.catalogue.newOneTimeObject(class)
	}
	return w.catalogue.draw(class, office)
}

// watchVideo asks for a video's next part, and for the one after it some time later.
func (w *World) watchVideo(viewer *viewer) {
	w.beginRequest(&client{office: viewer.office, rule: scenario.ClassVideo, object: viewer.object, part: viewer.part, viewer: viewer})
	if viewer.part++; w.now < w.clientsUntil && viewer.part < w.catalogue.parts(viewer.object) && w.random.Float64() > stopProbability {
		w.schedule(int64(4e5+w.random.Float64()*3.5e5), func() { w.watchVideo(viewer) })
	}
}

func (w *World) beginRequest(client *client) {
	load := &w.scenario.Load
	client.startedAt, client.honoursRetryAfter = w.now, w.random.Float64() < load.HonourShare
	client.timeLimit = int64(float64(w.classes[client.rule].Timeout) * load.Patience)
	client.phase = w.currentPhase()
	w.Result.countRequest(w, client)
	w.openRequests++
	w.sendRequest(client)
}

// currentPhase names the part of the run for the counts.
func (w *World) currentPhase() string {
	switch {
	case w.now < int64(w.scenario.WarmUpS*1e6):
		return "settle"
	case w.activeFaults > 0:
		return "trouble"
	}
	return "calm"
}
