package peerproto

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"

	"quilldoor/internal/cborcodec"
	"quilldoor/internal/cborcodec/cborcodectest"
)

var testRequest = Request{
	SentAt: 5, Budget: 1_500_000, RequestID: "00000000000000aa", Class: "demo-video", Object: "o1", Part: 3, Group: 17, Tag: "t", BodyBytes: 9,
	Route: []string{"n1"}, Purges: []Purge{{At: 7}, {Group: true, At: 8}},
}

// Frames of each payload format are decoded as they were encoded, and AppendRaw rejects a
// payload that is too long.
func TestFrames(t *testing.T) {
	b, err := Append(nil, KindHello, 0, &Hello{Version: Version, Name: "n1", Site: "north", Incarnation: 1 << 60})
	if err != nil {
		t.Fatal(err)
	}
	b, _ = Append(b, KindRequest, 7, &testRequest)
	b, _ = AppendRaw(b, KindData, 7, []byte("123456789"))
	b = AppendWindow(b, 7, 4096)
	b, _ = AppendRaw(b, KindCancel, 7, nil)
	b, _ = Append(b, KindAnswer, 7, &Answer{Outcome: 1, IssuedMillis: 99, Tag: "x", BodyBytes: 3})
	reader := NewReader(bytes.NewReader(b))
	var hello Hello
	var request Request
	var answer Answer
	for i, message := range []any{&hello, &request, nil, nil, nil, &answer} {
		frame, err := reader.Next()
		if err != nil {
			t.Fatalf("frame %d: %v", i, err)
		}
		if message != nil {
			if err := frame.Decode(message); err != nil {
				t.Fatalf("frame %d: %v", i, err)
			}
		}
		if frame.Kind == KindWindow && frame.Window() != 4096 || frame.Kind == KindData && string(frame.Payload) != "123456789" {
			t.Fatalf("frame %d: %+v", i, frame)
		}
	}
	if !reflect.DeepEqual(request, testRequest) || hello.Incarnation != 1<<60 || answer.IssuedMillis != 99 {
		t.Fatalf("request %+v, hello %+v, answer %+v", request, hello, answer)
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("after the last frame: %v, want EOF", err)
	}
	if _, err := AppendRaw(nil, KindData, 1, make([]byte, MaxPayload+1)); !errors.Is(err, ErrMalformed) {
		t.Fatalf("payload of %d bytes: %v, want ErrMalformed", MaxPayload+1, err)
	}
}

// A frame or payload that violates the protocol is an ErrMalformed, and a truncated frame an
// io.ErrUnexpectedEOF.
func TestBadFrames(t *testing.T) {
	for name, b := range map[string][]byte{
		"too long":                 {1, 64, 0, byte(KindData), 1, 0, 0, 0},
		"kind 0":                   {0, 0, 0, 0, 1, 0, 0, 0},
		"unknown kind":             {0, 0, 0, 99, 1, 0, 0, 0},
		"short window":             {1, 0, 0, byte(KindWindow), 1, 0, 0, 0, 5},
		"cancel with a payload":    {1, 0, 0, byte(KindCancel), 1, 0, 0, 0, 5},
		"hello with a number":      {0, 0, 0, byte(KindHello), 1, 0, 0, 0},
		"request without a number": {0, 0, 0, byte(KindRequest), 0, 0, 0, 0},
	} {
		if _, err := NewReader(bytes.NewReader(b)).Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v, want ErrMalformed", name, err)
		}
	}
	if _, err := NewReader(bytes.NewReader([]byte{9, 0, 0, byte(KindData), 1, 0, 0, 0, 1})).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated payload: %v, want ErrUnexpectedEOF", err)
	}
	for _, payload := range []string{"", "\xff", "\x9f\x01\xff", "\x9a\xff\xff\xff\xff", "\xc0\x60", "\x81\x81\x81\x81\x81\x81\x01"} {
		if err := (Frame{Payload: []byte(payload)}).Decode(new(Request)); !errors.Is(err, ErrMalformed) {
			t.Errorf("payload %q: %v, want ErrMalformed", payload, err)
		}
	}
}

// Payloads beyond the decoder's limits are an ErrMalformed.
func TestPayloadLimits(t *testing.T) {
	limits := cborcodec.Limits{MaxArrayElements: 256, MaxMapPairs: 16, MaxNestedLevels: 4}
	cborcodectest.Check(t, limits, func(encoded []byte) error {
		err := Frame{Payload: encoded}.Decode(new(any))
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("payload %.8x: %v, want ErrMalformed", encoded, err)
		}
		return err
	})
}

// Any input is read without a panic, in frames of bounded size.
func FuzzFrames(f *testing.F) {
	b, _ := Append(nil, KindRequest, 7, &testRequest)
	b, _ = Append(b, KindHeartbeat, 0, &Heartbeat{SentAt: 1, Capacity: 3})
	f.Add(b)
	f.Add(AppendWindow(nil, 3, 9))
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := NewReader(bytes.NewReader(input))
		for {
			frame, err := reader.Next()
			if err != nil {
				return
			}
			if len(frame.Payload) > MaxPayload {
				t.Fatalf("payload of %d bytes, at most %d allowed", len(frame.Payload), MaxPayload)
			}
			for _, message := range []any{new(Hello), new(Heartbeat), new(Request), new(Answer)} {
				_ = frame.Decode(message) // an error is allowed, a panic is not
			}
		}
	})
}

// A request and its answer are encoded and decoded.
func BenchmarkRequestAndAnswer(b *testing.B) {
	testAnswer := Answer{Outcome: 1, IssuedMillis: 1 << 40, Tag: "0123456789abcdef", BodyBytes: 100_000}
	var buf []byte
	var request Request
	var answer Answer
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = Append(buf[:0], KindRequest, 7, &testRequest)
		requestSize := len(buf)
		buf, _ = Append(buf, KindAnswer, 7, &testAnswer)
		if err := (Frame{Payload: buf[headerSize:requestSize]}).Decode(&request); err != nil {
			b.Fatal(err)
		}
		if err := (Frame{Payload: buf[requestSize+headerSize:]}).Decode(&answer); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(buf)), "bytes")
}
