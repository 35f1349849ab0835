package policy

import "testing"

func TestPurgesBoundTheMaxAge(t *testing.T) {
	r := newRouter(nil)
	r.Handle(begin, Event{Kind: EventPurge, Group: 7, Age: 40 * millisecond}, nil)
	a := onlyAction(t, r.Handle(begin+60*millisecond, newRequest("read"), nil), ActionSend)
	if a.MaxAge <= 0 || a.MaxAge >= 100*millisecond {
		t.Fatalf("MaxAge %d, 100 ms after a purge of the group", a.MaxAge)
	}
	r.Handle(begin, Event{Kind: EventPurge, Object: "x", Group: 7}, nil)
	if a := r.maxAge(&request{object: "x", class: &trafficClass{}}, 0); a != 1 {
		t.Fatalf("maxAge %d at the time of a purge of the object", a)
	}
	r.now = begin + 7*second
	if a := r.maxAge(&request{object: "x", group: 7, class: &trafficClass{}}, 0); a != 0 {
		t.Fatalf("maxAge %d after the purge has reached all caches", a)
	}
}
