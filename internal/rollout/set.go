package rollout

// Set is a set of routers: one bit for each index in Plan.Routers.
type Set []byte

// Has reports whether a router is in the set. A negative index never is.
func (s Set) Has(i int) bool { return i >= 0 && i/8 < len(s) && s[i/8]>>(i%8)&1 == 1 }

// With returns a copy of the set with a router added.
func (s Set) With(i int) Set {
	out := make(Set, max(len(s), i/8+1))
	copy(out, s)
	out[i/8] |= 1 << (i % 8)
	return out
}

// Without returns the set without a router, as a copy if the router was in it.
func (s Set) Without(i int) Set {
	if !s.Has(i) {
		return s
	}
	out := append(Set(nil), s...)
	out[i/8] &^= 1 << (i % 8)
	return out
}

// Count returns the number of routers in the set.
func (s Set) Count() (count int) {
	for i := range 8 * len(s) {
		if s.Has(i) {
			count++
		}
	}
	return count
}
