package transport

import (
	"slices"
	"strings"

	"quilldoor/internal/membership"
)

// Matrix holds the views of several routers for comparison.
type Matrix struct {
	Names []string                    // of all routers, sorted
	Views map[string]*membership.View // by router name; nil: the router did not answer
}

// QueryAll queries all members in the view of one router, at their addresses in that view and up to 16 at a time. The
// matrix includes the view itself.
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
	for _, member := range first.Members {
		if !slices.Contains(matrix.Names, member.Name) {
			matrix.Names = append(matrix.Names, member.Name)
		}
		if !member.Addr.IsValid() {
			continue
		}
		queries++
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			view, _ := Query(key, member.Name, member.Addr) // nil on an error
			answers <- answer{member.Name, view}
		}()
	}
	for range queries {
		a := <-answers
		matrix.Views[a.name] = a.view
	}
	slices.SortFunc(matrix.Names, strings.Compare)
	return matrix
}

// Status returns a member's status in the view of another router, the observer, or in its own view. It returns false if
// the observer did not answer, and the zero status if the view lacks the member.
func (m *Matrix) Status(member, observer string) (membership.MemberStatus, bool) {
	view := m.Views[observer]
	if view == nil {
		return membership.MemberStatus{}, false
	}
	if member == observer {
		return view.Self, true
	}
	for _, status := range view.Members {
		if status.Name == member {
			return status, true
		}
	}
	return membership.MemberStatus{}, true
}

// Disagreements returns the members that have different states or instances in the views of the routers that answered.
// A suspect member counts as alive, since a suspicion depends on each router's own probes.
func (m *Matrix) Disagreements() (names []string) {
	type observation struct {
		state membership.State
		id    membership.InstanceID
	}
	for _, member := range m.Names {
		observations := map[observation]bool{}
		for _, observer := range m.Names {
			status, answered := m.Status(member, observer)
			if !answered {
				continue
			}
			if status.State == membership.StateSuspect {
				status.State = membership.StateAlive
			}
			observations[observation{status.State, status.ID}] = true
		}
		if len(observations) > 1 {
			names = append(names, member)
		}
	}
	return names
}
