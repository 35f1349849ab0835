package transport

import (
	"slices"
	"strings"

	"quilldoor/internal/membership"
)

// Matrix holds the views of several routers side by side.
type Matrix struct {
	Names []string                    // sorted
	Views map[string]*membership.View // by router; nil: no answer
}

// QueryAll queries all members that a view holds, some at a time, at the addresses in that view.
func QueryAll(key []byte, first *membership.View) *Matrix {
	const maxConcurrent = 16
	type answer struct {
		name string
		view *membership.View
	}
	matrix := &Matrix{
		Names: []string{first.Self.Name},
		Views: map[string]*membership.View{first.Self.Name: first},
	}
	slots := make(chan struct{}, maxConcurrent)
	answers := make(chan answer, len(first.Members))
	queries := 0
	for _, m := range first.Members {
		if !slices.Contains(matrix.Names, m.Name) {
			matrix.Names = append(matrix.Names, m.Name)
		}
		if !m.Addr.IsValid() {
			continue
		}
		queries++
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			view, _ := Query(key, m.Name, m.Addr) // nil on an error
			answers <- answer{m.Name, view}
		}()
	}
	for range queries {
		a := <-answers
		matrix.Views[a.name] = a.view
	}
	slices.SortFunc(matrix.Names, strings.Compare)
	return matrix
}

// Status returns what one router holds of another; false: it did not answer.
func (m *Matrix) Status(of, by string) (membership.MemberStatus, bool) {
	view := m.Views[by]
	if view == nil {
		return membership.MemberStatus{}, false
	}
	if of == by {
		return view.Self, true
	}
	for _, s := range view.Members {
		if s.Name == of {
			return s, true
		}
	}
	return membership.MemberStatus{}, true
}

// Disagreements returns the routers of which those that answered hold different states or instances. A suspicion is no
// difference: it depends on each router's own probes.
func (m *Matrix) Disagreements() (names []string) {
	type opinion struct {
		state membership.State
		id    membership.InstanceID
	}
	for _, of := range m.Names {
		opinions := map[opinion]bool{}
		for _, by := range m.Names {
			s, answered := m.Status(of, by)
			if !answered {
				continue
			}
			if s.State == membership.StateSuspect {
				s.State = membership.StateAlive
			}
			opinions[opinion{s.State, s.ID}] = true
		}
		if len(opinions) > 1 {
			names = append(names, of)
		}
	}
	return names
}
