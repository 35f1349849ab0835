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

var ask = Request{
	SentAt: 5, Budget: 1_500_000, RequestID: "00000000000000aa", Class: "demo-video", Object: "o1", Part: 3, Group: 17, Tag: "t", BodyBytes: 9,
	Route: []string{"n1"}, Purges: []Purge{{At: 7}, {Group: true, At: 8}},
}

func TestFrames(t *testing.T) {
	b, err := Append(nil, KindHello, 0, &Hello{Version: Version, Name: "n1", Site: "north", Incarnation: 1 << 60})
	if err != nil {
		t.Fatal(err)
	}
	b, _ = Append(b, KindRequest, 7, &ask)
	b, _ = AppendRaw(b, KindData, 7, []byte("123456789"))
	b = AppendWindow(b, 7, 4096)
	b, _ = AppendRaw(b, KindCancel, 7, nil)
	b, _ = Append(b, KindAnswer, 7, &Answer{Outcome: 1, IssuedMillis: 99, Tag: "x", BodyBytes: 3})
	r := NewReader(bytes.NewReader(b))
	var h Hello
	var a Request
	var z Answer
	for i, into := range []any{&h, &a, nil, nil, nil, &z} {
		f, err := r.Next()
		if err != nil {
			t.Fatal(i, err)
		}
		if into != nil {
			if err := f.Decode(into); err != nil {
				t.Fatal(i, err)
			}
		}
		if f.Kind == KindWindow && f.Window() != 4096 || f.Kind == KindData && string(f.Payload) != "123456789" {
			t.Fatalf("%+v", f)
		}
	}
	if !reflect.DeepEqual(a, ask) || h.Incarnation != 1<<60 || z.IssuedMillis != 99 {
		t.Fatalf("%+v %+v %+v", a, h, z)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if _, err := AppendRaw(nil, KindData, 1, make([]byte, MaxPayload+1)); !errors.Is(err, ErrMalformed) {
		t.Fatal(err)
	}
}

func TestBadFrames(t *testing.T) {
	for name, b := range map[string][]byte{
		"too long":                 {1, 64, 0, byte(KindData), 1, 0, 0, 0},
		"no kind":                  {0, 0, 0, 0, 1, 0, 0, 0},
		"unknown kind":             {0, 0, 0, 99, 1, 0, 0, 0},
		"short window":             {1, 0, 0, byte(KindWindow), 1, 0, 0, 0, 5},
		"cancel with more":         {1, 0, 0, byte(KindCancel), 1, 0, 0, 0, 5},
		"greeting of a request":    {0, 0, 0, byte(KindHello), 1, 0, 0, 0},
		"request without a number": {0, 0, 0, byte(KindRequest), 0, 0, 0, 0},
	} {
		if _, err := NewReader(bytes.NewReader(b)).Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := NewReader(bytes.NewReader([]byte{9, 0, 0, byte(KindData), 1, 0, 0, 0, 1})).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut: %v", err)
	}
	for _, p := range []string{"", "\xff", "\x9f\x01\xff", "\x9a\xff\xff\xff\xff", "\xc0\x60", "\x81\x81\x81\x81\x81\x81\x01"} {
		if err := (Frame{Payload: []byte(p)}).Decode(new(Request)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", p, err)
		}
	}
}

func TestPayloadLimits(t *testing.T) {
	limits := cborcodec.Limits{MaxArrayElements: 256, MaxMapPairs: 16, MaxNestedLevels: 4}
	cborcodectest.Check(t, limits, func(encoded []byte) error {
		err := Frame{Payload: encoded}.Decode(new(any))
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%.8x: %v is no ErrMalformed", encoded, err)
		}
		return err
	})
}

// Whatever comes is read without a panic, in frames of bounded size.
func FuzzFrames(f *testing.F) {
	b, _ := Append(nil, KindRequest, 7, &ask)
	b, _ = Append(b, KindHeartbeat, 0, &Heartbeat{SentAt: 1, Capacity: 3})
	f.Add(b)
	f.Add(AppendWindow(nil, 3, 9))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b))
		for {
			x, err := r.Next()
			if err != nil {
				return
			}
			if len(x.Payload) > MaxPayload {
				t.Fatal(len(x.Payload))
			}
			for _, payload := range []any{new(Hello), new(Heartbeat), new(Request), new(Answer)} {
				_ = x.Decode(payload) // any error will do, a panic will not
			}
		}
	})
}

// A request and its answer, written and read.
func BenchmarkRequestAndAnswer(b *testing.B) {
	answer := Answer{Outcome: 1, IssuedMillis: 1 << 40, Tag: "0123456789abcdef", BodyBytes: 100_000}
	var buf []byte
	var a Request
	var z Answer
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = Append(buf[:0], KindRequest, 7, &ask)
		n := len(buf)
		buf, _ = Append(buf, KindAnswer, 7, &answer)
		if err := (Frame{Payload: buf[headerSize:n]}).Decode(&a); err != nil {
			b.Fatal(err)
		}
		if err := (Frame{Payload: buf[n+headerSize:]}).Decode(&z); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(buf)), "bytes")
}
