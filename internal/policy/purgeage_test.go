package policy

import "testing"

func TestPurgesBoundTheMaxAge(t *testing.T) {
	r := newRouter(nil)
	r.Handle(begin, Event{Kind: EventPurge, Group: 7, Age: 40 * millisecond}, nil)
	a := onlyAction(t, r.Handle(begin+60*millisecond, newRequest("read"), nil), ActionSend)
	if a.MaxAge <= 0 || a.MaxAge >= 100*millisecond {
		t.Fatalf("age %d after a purge 100 ms ago", a.MaxAge)
	}
	r.Handle(begin, Event{Kind: EventPurge, Object: "x", Group: 7}, nil)
	if a := r.maxAge(&request{object: "x", class: &trafficClass{}}, 0); a != 1 {
		t.Fatalf("age %d after a purge of the object", a)
	}
	r.now = begin + 7*second
	if a := r.maxAge(&request{object: "x", group: 7, class: &trafficClass{}}, 0); a != 0 {
		t.Fatalf("age %d long after the purge", a)
	}
}
