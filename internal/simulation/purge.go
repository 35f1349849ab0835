package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
)

// purgeSpread is the share of the time for a complete purge within which all servers have carried it out.
const purgeSpread = 0.9

// purgedAt is the time at which an object was last purged, by itself or with its group; 0: never.
func (s *Simulation) purgedAt(object, group int64) int64 {
	at := s.groupPurges[group%groupCount]
	if objectPurge, purged := s.objectPurges[object]; purged {
		at = max(at, objectPurge)
	}
	return at
}

// purge purges an object or, if object is wholeGroup, a group. Each server drops its copies after a random delay, and
// routers are notified.
func (s *Simulation) purge(object, group int64) {
	now := s.now
	event := DiscoveryEvent{Purge: true, Group: group, At: now}
	if object >= 0 {
		s.objectPurges[object] = now
		event.Object = s.catalogue.name(object)
		event.Group = 0
	} else {
		s.groupPurges[group] = now
	}
	s.record(Entry{Kind: eventlog.KindPurged, Object: event.Object, Group: event.Group, Until: now})
	for _, servers := range slices.Concat(s.caches, s.parents) {
		for _, server := range servers {
			delay := s.random.Float64() * purgeSpread * s.scenario.Fleet.PurgeCompleteMS * millisecond
			s.schedule(int64(delay), func() { server.store.purge(object, group, now) })
		}
	}
	s.announce(event)
}
