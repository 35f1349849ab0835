package simwire

import (
	"encoding/json"
	"errors"
	"testing"

	"quilldoor/internal/policy"
)

func TestEachOutcomeHasAWireName(t *testing.T) {
	for outcome := policy.OutcomeDone; outcome <= policy.OutcomeSkipped; outcome++ {
		if outcomes[outcome.String()] != outcome {
			t.Errorf("%q is read as %v", outcome.String(), outcomes[outcome.String()])
		}
	}
	if len(outcomes) != int(policy.OutcomeSkipped) || outcomes["odd"] != policy.OutcomeUnknown {
		t.Errorf("%d outcomes on the wire, an unknown one is read as %v", len(outcomes), outcomes["odd"])
	}
}

func TestMissingMembersAreNamed(t *testing.T) {
	for text, want := range map[string]MissingMemberError{
		`{"I":1}`:                         {"", "verb"},
		`{"verb":"Answer"}`:               {"Answer", "I"},
		`{"verb":"PowerOn","I":1}`:        {"PowerOn", "Setup"},
		`{"verb":"Inventory"}`:            {"Inventory", "Page"},
		`{"verb":"Discovery","I":1}`:      {"Discovery", "Page"},
		`{"verb":"Discovery","Scope":""}`: {"Discovery", "I"},
	} {
		_, err := ReadMessage(json.RawMessage(text))
		var missing *MissingMemberError
		if !errors.As(err, &missing) || *missing != want {
			t.Errorf("%s: %v, want %v", text, err, &want)
		}
	}
	if _, err := ReadMessage(json.RawMessage(`{"verb":"Discovery","I":1,"Scope":"error"}`)); err != nil {
		t.Errorf("an update with scope error has no page, and is rejected: %v", err)
	}
}
