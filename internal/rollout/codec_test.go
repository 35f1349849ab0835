package rollout

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"quilldoor/internal/canary"
)

func TestMessagesSurviveEncoding(t *testing.T) {
	for _, m := range []*Message{
		{Kind: KindPrepare, Plan: 7, Term: 1025},
		{Kind: KindPromise, Plan: 7, Term: 1025, AcceptedTerm: 1, State: &State{Seq: 3, Phase: PhaseForward, Batch: Set{1}, Reason: "why"}},
		{Kind: KindPoll, Plan: 7, Nonce: 9, Report: &Report{Upgraded: true, Counts: canary.Counts{Requests: 5}, MemoryMB: 1.5}},
		{Kind: KindCommand, Plan: 7, Command: CommandPause},
	} {
		encoded, err := Encode(m)
		if err != nil || !bytes.HasPrefix(encoded, MessagePrefix) {
			t.Fatalf("encoding %+v: %x, %v", m, encoded, err)
		}
		if got, err := Decode(encoded); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("decoded %+v, %v, want %+v", got, err, m)
		}
	}
}

// Guards against messages that do not fit into one datagram: long texts are cut, and the
// counts of traffic classes are omitted.
func TestLongMessagesAreShortened(t *testing.T) {
	long := strings.Repeat("x", 5000)
	report := Report{FailureReason: long, FirstViolation: long, Counts: canary.Counts{Requests: 1, Classes: map[string]canary.ClassCounts{}}}
	for i := range canary.MaxClasses {
		report.Counts.Classes[fmt.Sprint(i, long[:200])] = canary.ClassCounts{Requests: 1}
	}
	m := &Message{Kind: KindPoll, Plan: 7, State: &State{Seq: 1, Reason: long}, Report: &report}
	encoded, err := Encode(m)
	if err != nil || len(encoded) > maxMessageBytes {
		t.Fatalf("encoded to %d bytes, %v, want %d at most", len(encoded), err, maxMessageBytes)
	}
	got, err := Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.State.Reason) != maxReasonBytes || len(got.Report.FailureReason) != maxReasonBytes ||
		len(got.Report.FirstViolation) != maxReasonBytes || got.Report.Counts.Classes != nil || got.Report.Counts.Requests != 1 {
		t.Errorf("decoded state %+v, report %+v", got.State, got.Report)
	}
	if m.State.Reason != long || m.Report.FailureReason != long || len(m.Report.Counts.Classes) != canary.MaxClasses {
		t.Error("Encode changed its argument")
	}
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	encode := func(m *Message) []byte {
		encoded, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	valid := encode(&Message{Kind: KindPrepare, Plan: 7})
	large := make(Set, MaxRouters/8+1)
	for name, body := range map[string][]byte{
		"empty":          nil,
		"no prefix":      valid[len(MessagePrefix):],
		"truncated":      valid[:len(valid)-1],
		"trailing bytes": append(bytes.Clone(valid), 0),
		"no kind":        encode(&Message{Plan: 7}),
		"large set":      encode(&Message{Kind: KindAccept, State: &State{Skipped: large}}),
		"negative stage": encode(&Message{Kind: KindAccept, State: &State{Stage: -1}}),
	} {
		if m, err := Decode(body); !errors.Is(err, ErrMalformedMessage) {
			t.Errorf("%s: decoded %+v, %v, want ErrMalformedMessage", name, m, err)
		}
	}
}
