// Package gossip decides what a router takes from others of what their notice boards
// have told, while its own is late or cut off: servers that drain or are gone, new
// starts, purges. It does no I/O and has no clock of its own.
//
// Boards number their events anew for each router, so that two routers' numbers
// can't be compared. What can is put in an order that needs none: a later birth of
// a server goes before an earlier one, within a birth gone before draining before
// ready, the latest purge before earlier ones. Taking news in any order, twice or
// late then comes to the same (a join of states; Shapiro and others 2011), and
// never goes backwards. What only the own board may say is that a server which it
// has told to be drained or gone is not.
package gossip

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/policy"
)

// Endpoint is a line of the list with its address.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Purge is of an object, or of a group where that is "". At is Unix microseconds.
type Purge struct {
	Object string
	Group  int64
	At     int64
}

// Settings of a router's book. Times are microseconds.
type Settings struct {
	PurgeRetention int64 // how long a purge binds: servers have dropped what is older by then

	wrong wrong
}

// wrong switches guards off. Only tests set it.
type wrong struct {
	oneWitness bool // what a single router says is taken
	backwards  bool // what is heard last counts
	forever    bool // what others say outlasts them
}

const (
	second = int64(1_000_000)
	// claimFor is how long what others say of a server binds without being said
	// again: so long the platform gives a board to tell.
	claimFor = 7 * second
	// goneFor is how long the end of a server is kept as news.
	goneFor = 120 * second
	// witnesses is how many others must say so: a router that holds all servers
	// gone by a fault of its own empties no other one's list.
	witnesses = 2
	// ahead is by how much another's clock may be in front of the own.
	ahead      = 2 * second
	mostPurges = 4096
	mostList   = 20_000
	buckets    = 16
	askEvery   = second / 2
	settled    = second / 2 // differences within it are boards on their way
)

// rank orders what is told of one birth.
func rank(state policy.EndpointState) uint8 {
	switch state {
	case policy.EndpointActive:
		return 0
	case policy.EndpointDraining:
		return 1
	}
	return 2
}

// line is what is held of a server.
type line struct {
	own    Endpoint // as the own board has it
	goneAt int64    // when the own board told of its end
	claim  claim    // that binds: others have it further on than the own board
	next   claim    // further on still, and short of witnesses
}

// claim is what others say. No server: there is none.
type claim struct {
	Endpoint
	by    [witnesses]string
	until int64
}

// Replica is a router's.
type Replica struct {
	set     Settings
	servers map[string]*line
	purges  map[purgeKey]int64
	digests [buckets]uint32
	changed int64 // when the own board or the others told something last
	asked   int64
	alone   bool // fewer than two others are known: one is enough
	Counts  Counts
}

type purgeKey struct {
	object string
	group  int64
}

// Counts are totals.
type Counts struct{ Requests, Responses, ClaimsAccepted, ClaimsExpired, Purges, Rejected int64 }

// New opens a book.
func New(s Settings) *Replica {
	return &Replica{set: s, servers: map[string]*line{}, purges: map[purgeKey]int64{}}
}

// SetSingleConfirmation says whether there are not two others to be witnesses.
func (b *Replica) SetSingleConfirmation(is bool) { b.alone = is }

// further tells whether a is later news of a server than o.
func further(a, o Endpoint) bool {
	return cmp.Or(cmp.Compare(a.StartedAt, o.StartedAt), cmp.Compare(rank(a.State), rank(o.State))) > 0
}

// ApplyLocal takes what the own board tells, whole: it names all there are. What others
// claim of a server goes on binding over it. It returns the list to be applied.
func (b *Replica) ApplyLocal(now int64, whole bool, list []Endpoint) []Endpoint {
	b.changed = now
	if whole {
		named := map[string]bool{}
		for _, s := range list {
			named[s.ID] = true
		}
		for id, l := range b.servers {
			if !named[id] && l.own.State != policy.EndpointGone {
				l.own.State, l.goneAt = policy.EndpointGone, now
			}
		}
	}
	out := make([]Endpoint, 0, len(list))
	for _, s := range list {
		l := b.servers[s.ID]
		if l == nil {
			if len(b.servers) >= mostList {
				out = append(out, s)
				continue
			}
			l = &line{own: s}
			b.servers[s.ID] = l
		}
		undrains := s.StartedAt == l.own.StartedAt && rank(s.State) < rank(l.own.State)
		if l.own = s; s.State == policy.EndpointGone {
			l.goneAt = now
		}
		for _, c := range []*claim{&l.claim, &l.next} {
			// The own board has caught up, knows better, or says that it is not to be used.
			if undrains || c.Endpoint.ID != "" && (!further(c.Endpoint, s) || c.State == policy.EndpointActive && s.State != policy.EndpointActive) {
				*c = claim{}
			}
		}
		out = append(out, l.effective())
	}
	b.digest(now)
	return out
}

// effective is what is applied of a server.
func (l *line) effective() Endpoint {
	if l.claim.Endpoint.ID != "" {
		return l.claim.Endpoint
	}
	return l.own
}

// ApplyLocalPurge takes a purge of the own board's.
func (b *Replica) ApplyLocalPurge(now int64, p Purge) {
	b.changed = now
	b.purge(p)
	b.digest(now)
}

func (b *Replica) purge(p Purge) (fresh bool) {
	key := purgeKey{p.Object, p.Group}
	if p.At <= b.purges[key] {
		return false
	}
	if _, is := b.purges[key]; !is && len(b.purges) >= mostPurges {
		oldest, at := key, int64(math.MaxInt64)
		for k, v := range b.purges {
			if v < at || v == at && (k.object < oldest.object || k.object == oldest.object && k.group < oldest.group) {
				oldest, at = k, v
			}
		}
		delete(b.purges, oldest)
	}
	b.purges[key] = p.At
	return true
}

// Merge takes another router's news and returns what is to be applied. Births and
// purges are by the wall's clock, all else by a steady one.
func (b *Replica) Merge(now, wall int64, from string, t *StateExchange) (servers []Endpoint, purges []Purge) {
	for _, x := range t.Purges {
		p := Purge{x.Object, x.Group, x.At}
		if p.At > wall+ahead || p.At < wall-b.set.PurgeRetention {
			b.Counts.Rejected++
			continue
		}
		if b.purge(p) {
			b.Counts.Purges++
			purges = append(purges, p)
		}
	}
	for i := range t.Servers {
		if s := t.Servers[i].server(); b.claimed(now, wall, from, s) {
			servers = append(servers, b.servers[s.ID].claim.Endpoint)
		}
	}
	if len(servers)+len(purges) > 0 {
		b.changed = now
		b.digest(now)
	}
	return servers, purges
}

// claimed takes what another says of a server; true: from now on it binds.
func (b *Replica) claimed(now, wall int64, from string, s Endpoint) bool {
	if s.ID == "" || s.State != policy.EndpointActive && s.State != policy.EndpointDraining && s.State != policy.EndpointGone || s.StartedAt > wall+ahead {
		b.Counts.Rejected++
		return false
	}
	// Who is new is only taken from the own board: without it nothing is sent there,
	// and its address may be another for each router.
	l := b.servers[s.ID]
	if l == nil || !further(s, l.own) && !b.set.wrong.backwards {
		return false
	}
	// What the own board has told to be drained or gone, it alone takes back.
	if s.State == policy.EndpointActive && l.own.State != policy.EndpointActive && !b.set.wrong.backwards {
		return false
	}
	s.Address = l.own.Address
	if c := &l.claim; c.Endpoint.ID != "" && !further(s, c.Endpoint) && !b.set.wrong.backwards {
		if !further(c.Endpoint, s) {
			c.until = now + claimFor // said again
		}
		return false
	}
	c := &l.next
	switch {
	case c.Endpoint.ID == "" || further(s, c.Endpoint) || b.set.wrong.backwards && s.print() != c.Endpoint.print():
		*c = claim{Endpoint: s, by: [witnesses]string{from}}
	case further(c.Endpoint, s): // older than what others say
		return false
	case !slices.Contains(c.by[:], from):
		c.by[slices.Index(c.by[:], "")] = from
	}
	c.until = now + claimFor
	if !b.alone && !b.set.wrong.oneWitness && slices.Contains(c.by[:], "") {
		return false
	}
	l.claim, l.next = *c, claim{}
	b.Counts.ClaimsAccepted++
	return true
}

// Tick ends claims that nobody has said again, and purges that bind no more. It
// returns what is to be applied in their place.
func (b *Replica) Tick(now, wall int64) (servers []Endpoint) {
	for _, id := range b.ids() {
		l := b.servers[id]
		if l.own.State == policy.EndpointGone && now-l.goneAt > goneFor {
			delete(b.servers, id)
			continue
		}
		if b.set.wrong.forever {
			continue
		}
		if l.next.until <= now {
			l.next = claim{}
		}
		if l.claim.until <= now && l.claim.Endpoint.ID != "" {
			l.claim = claim{}
			b.Counts.ClaimsExpired++
			servers = append(servers, l.own)
		}
	}
	for k, at := range b.purges {
		if wall-at > b.set.PurgeRetention {
			delete(b.purges, k)
		}
	}
	b.digest(now)
	return servers
}

func (b *Replica) ids() (list []string) {
	for id := range b.servers {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// ---- Comparing ----

func (s *Endpoint) print() uint32 {
	h := fnv.New32a()
	h.Write([]byte(s.ID))
	h.Write([]byte{rank(s.State), byte(s.StartedAt), byte(s.StartedAt >> 8), byte(s.StartedAt >> 16), byte(s.StartedAt >> 24), byte(s.StartedAt >> 32), byte(s.StartedAt >> 40)})
	return h.Sum32()
}

func (k purgeKey) print(at int64) uint32 {
	h := fnv.New32a()
	h.Write([]byte(k.object))
	h.Write([]byte{'p', byte(k.group), byte(at), byte(at >> 8), byte(at >> 16), byte(at >> 24), byte(at >> 32), byte(at >> 40)})
	return h.Sum32()
}

func bucket(text string) int {
	h := fnv.New32a()
	h.Write([]byte(text))
	return int(h.Sum32() % buckets)
}

func (k purgeKey) bucket() int { return bucket(k.object + string(rune(k.group))) }

// digest makes the digests anew: what is gone is in none, since some have
// forgotten it.
func (b *Replica) digest(int64) {
	b.digests = [buckets]uint32{}
	for id, l := range b.servers {
		if s := l.effective(); s.State == policy.EndpointActive || s.State == policy.EndpointDraining {
			b.digests[bucket(id)] ^= s.print()
		}
	}
	for k, at := range b.purges {
		b.digests[k.bucket()] ^= k.print(at)
	}
}

// Digest is the digest of all, which words to the others carry.
func (b *Replica) Digest() (tag uint32) {
	for i, d := range b.digests {
		tag ^= d * uint32(2*i+1)
	}
	return tag
}

// ShouldRequest tells whether to ask a router that has this tag: where it is another than
// the own, but not while boards may still be on their way; where what others have
// said is to be said again; and not often.
func (b *Replica) ShouldRequest(now int64, tag uint32) bool {
	// A new life asks at once, twice: its list may be as old as its start.
	if b.Counts.Requests < witnesses && tag != b.Digest() {
		b.Counts.Requests++
		return true
	}
	claims, due := b.claims(now)
	wait := askEvery
	if due {
		wait /= 5
	}
	// Once others know better than the own board, nothing is waited for.
	if now-b.asked < wait || !due && (tag == b.Digest() || !claims && now-b.changed < settled) {
		return false
	}
	b.asked = now
	b.Counts.Requests++
	return true
}

// DigestRequest is a question: tell where our digests differ.
type DigestRequest struct {
	Digests []uint32 `cbor:"1,keyasint"`
}

// StateExchange is an answer, a piece of it.
type StateExchange struct {
	Servers []wireServer `cbor:"1,keyasint,omitempty"`
	Purges  []wirePurge  `cbor:"2,keyasint,omitempty"`
}

type wireServer struct {
	ID       string               `cbor:"1,keyasint"`
	Endpoint string               `cbor:"2,keyasint,omitempty"`
	Zone     string               `cbor:"3,keyasint,omitempty"`
	Kind     string               `cbor:"4,keyasint,omitempty"`
	Cell     int                  `cbor:"5,keyasint,omitempty"`
	State    policy.EndpointState `cbor:"6,keyasint"`
	Weight   float64              `cbor:"7,keyasint,omitempty"`
	Born     int64                `cbor:"8,keyasint,omitempty"`
}

type wirePurge struct {
	Object string `cbor:"1,keyasint,omitempty"`
	Group  int64  `cbor:"2,keyasint,omitempty"`
	At     int64  `cbor:"3,keyasint"`
}

func (w *wireServer) server() Endpoint {
	return Endpoint{policy.Endpoint{ID: w.ID, Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: w.State, Weight: w.Weight, StartedAt: w.Born}, w.Endpoint}
}

// claims tells whether others know better than the own board, and whether one of
// them is to be asked for that: a claim wants a witness, or has lived for a third of
// its time.
func (b *Replica) claims(now int64) (any, due bool) {
	for _, l := range b.servers {
		next, held := l.next.Endpoint.ID != "", l.claim.Endpoint.ID != ""
		any = any || next || held
		due = due || next || held && l.claim.until-now < claimFor*2/3
	}
	return any, due
}

// NewRequest is what to ask another: what differs, and what others have claimed.
func (b *Replica) NewRequest() DigestRequest {
	a := DigestRequest{slices.Clone(b.digests[:])}
	for id, l := range b.servers {
		if i := bucket(id); l.next.Endpoint.ID != "" || l.claim.Endpoint.ID != "" {
			a.Digests[i] = ^b.digests[i]
		}
	}
	return a
}

// Respond tells, in pieces of so many bytes, what the own board has told where
// digests differ. What others have claimed is not told on: else those who have no
// board would be each other's witnesses. Purges are, whoever told them.
func (b *Replica) Respond(a *DigestRequest, most int) (pieces []StateExchange) {
	if len(a.Digests) != buckets {
		b.Counts.Rejected++
		return nil
	}
	b.Counts.Responses++
	const mostPieces = 12
	var t StateExchange
	size := 0
	cut := func(n int) {
		if size+n > most {
			pieces, t, size = append(pieces, t), StateExchange{}, 0
		}
		size += n
	}
	for _, id := range b.ids() {
		l := b.servers[id]
		if a.Digests[bucket(id)] == b.digests[bucket(id)] {
			continue
		}
		s := l.own
		cut(40 + len(id) + len(s.Address) + len(s.Zone) + len(s.Kind))
		t.Servers = append(t.Servers, wireServer{id, s.Address, s.Zone, s.Kind, s.Cell, s.State, s.Weight, s.StartedAt})
	}
	var keys []purgeKey
	for k := range b.purges {
		if a.Digests[k.bucket()] != b.digests[k.bucket()] {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y purgeKey) int { // the youngest first
		return cmp.Or(cmp.Compare(b.purges[y], b.purges[x]), cmp.Compare(x.object, y.object), cmp.Compare(x.group, y.group))
	})
	for _, k := range keys {
		cut(20 + len(k.object))
		t.Purges = append(t.Purges, wirePurge{k.object, k.group, b.purges[k]})
	}
	if pieces = append(pieces, t); len(pieces) > mostPieces {
		pieces = pieces[:mostPieces]
	}
	return pieces
}

// Payload is what goes from one router to another: a question or an answer.
type Payload struct {
	Request       *DigestRequest `cbor:"1,keyasint,omitempty"`
	StateExchange *StateExchange `cbor:"2,keyasint,omitempty"`
}

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1024, MaxMapPairs: 16, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options stand above
	}
	return m
}()

// Encode writes a letter.
func (l *Payload) Encode() []byte {
	b, err := cbor.Marshal(l)
	if err != nil {
		panic(err) // letters are made of what can be written
	}
	return b
}

// Decode reads one; nil: it can't be used.
func Decode(b []byte) *Payload {
	var l Payload
	if decoding.Unmarshal(b, &l) != nil || l.Request == nil && l.StateExchange == nil {
		return nil
	}
	return &l
}

// Result is what a letter brings: letters for its sender, and what is to be applied.
type Result struct {
	Replies [][]byte
	Servers []Endpoint
	Purges  []Purge
}

// HandlePayload takes what another router says: its tag alone, a question or an answer.
// Letters back are of so many bytes at most.
func (b *Replica) HandlePayload(now, wall int64, from string, tag uint32, body []byte, most int) (t Result) {
	if body == nil {
		if b.ShouldRequest(now, tag) {
			q := b.NewRequest()
			t.Replies = append(t.Replies, (&Payload{Request: &q}).Encode())
		}
		return t
	}
	l := Decode(body)
	switch {
	case l == nil:
		b.Counts.Rejected++
	case l.Request != nil:
		for _, piece := range b.Respond(l.Request, most) {
			t.Replies = append(t.Replies, (&Payload{StateExchange: &piece}).Encode())
		}
	default:
		t.Servers, t.Purges = b.Merge(now, wall, from, l.StateExchange)
	}
	return t
}
