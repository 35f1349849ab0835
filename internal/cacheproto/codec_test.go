package cacheproto

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"quilldoor/internal/policy"
)

func TestCommandsAreWritten(t *testing.T) {
	g := &GetCommand{ID: "9b", Class: "page", Object: "x", Part: 3, BudgetMillis: 150, Length: 0}
	want := "GET 9b queue=page,path=x,blk=3,budget=150 0\r\n"
	if got := string(AppendGet(nil, g)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	g.Source, g.Priority, g.MaxAgeMillis, g.FillMode, g.Tag, g.Length = "o-1", 2, 40, 1|2|8, "tag", 7
	want = "GET 9b queue=page,path=x,blk=3,budget=150,miss=o-1,prio=2,within=40,f=wait-for+no-fetch+background,mine=tag 7\r\n"
	if got := string(AppendGet(nil, g)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	if got := string(AppendPing(AppendDrop(nil, "9b"), "p1")); got != "DROP 9b\r\nPING p1\r\n" {
		t.Errorf("%q", got)
	}
}

func read(text string) (Response, error) {
	return ReadResponse(bufio.NewReaderSize(strings.NewReader(text), 256), 1000)
}

func TestResponseIsRead(t *testing.T) {
	a, err := read("9b ACK entity=4be0,issued=1764576000123,detail=MISS_ORIGIN,delay=12.5,use=util:0.61;x1:2,new=1 9\r\n")
	if err != nil || a.ID != "9b" || a.Status != StatusOK || a.Tag != "4be0" || a.IssuedMillis != 1764576000123 || a.Reason != policy.ReasonMissOrigin ||
		a.DelayMillis != 12.5 || a.Load["util"] != 0.61 || a.Load["x1"] != 2 || a.Length != 9 {
		t.Fatalf("%+v, %v", a, err)
	}
	if a, err := read("p1 READY\r\n"); err != nil || a.Status != StatusReady || a.Length >= 0 {
		t.Fatalf("%+v, %v", a, err)
	}
}

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, text := range []string{
		"9b ACK - -1\r\n", "9b ACK - 1001\r\n", "9b ACK - 99999999999999999999\r\n", "9b ACK -\r\n", "9b HELLO - 0\r\n",
		" ACK - 0\r\n", "9b ACK - 0\n", "9b ACK delay 0\r\n", "9b ACK delay=x 0\r\n", "9b ACK use=a:b 0\r\n",
		"9b ACK issued=1.5 0\r\n", "\r\n",
		// NaN and Inf once reached the policy.
		"9b EIO delay=NaN 0\r\n", "9b EIO delay=-1 0\r\n", "9b EIO use=util:Inf 0\r\n",
		"9b NOMOD entity=e,issued=7 1\r\n",
		"9b ACK entity=" + strings.Repeat("x", 300) + " 0\r\n",
	} {
		if _, err := read(text); !errors.Is(err, ErrProtocol) {
			t.Errorf("%.50q: %v", text, err)
		}
	}
	if _, err := read("9b ACK - 0"); err == nil || errors.Is(err, ErrProtocol) {
		t.Errorf("half a line: %v", err)
	}
	if err := ReadBodyEnd(bufio.NewReader(strings.NewReader("xx"))); !errors.Is(err, ErrProtocol) {
		t.Errorf("no line's end behind a body: %v", err)
	}
}

// FuzzReadResponse looks for panics and for lengths outside the bound.
func FuzzReadResponse(f *testing.F) {
	f.Add("9b ACK entity=4be0,issued=1,detail=HIT,delay=0.5,use=util:0.6;x0:1 9\r\n")
	f.Add("p READY\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		a, err := read(text)
		if err == nil && (a.Length > 1000 || a.Length < 0 && a.Status != StatusReady || a.Status == 0) {
			t.Fatalf("%+v", a)
		}
	})
}

// What one side writes the other reads.
func TestBothSidesAgree(t *testing.T) {
	g := GetCommand{
		ID: "ab", Class: "page", Object: "o1", Part: 3, BudgetMillis: 70, Source: "s", Priority: 2,
		MaxAgeMillis: 500, FillMode: 11, Tag: "t", Length: 4,
	}
	c, err := ReadCommand(bufio.NewReader(strings.NewReader(string(AppendGet(nil, &g)))))
	if err != nil || c.Get == nil || *c.Get != g {
		t.Fatalf("%+v, %v", c.Get, err)
	}
	for _, word := range []string{"DROP ab", "PING ab"} {
		if c, err := ReadCommand(bufio.NewReader(strings.NewReader(word + "\r\n"))); err != nil || c.DropID+c.PingID != "ab" {
			t.Errorf("%s: %+v, %v", word, c, err)
		}
	}
	for _, bad := range []string{"GET a b 1\r\n", "GET a queue=x -1\r\n", "GET a f=never 0\r\n", "GET a odd=1 0\r\n", "HELO\r\n", "DROP a\n"} {
		if _, err := ReadCommand(bufio.NewReader(strings.NewReader(bad))); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
	a := Response{
		ID: "ab", Status: StatusOK, Tag: "t", IssuedMillis: 9, Reason: policy.ReasonCoalesced, DelayMillis: 1.5,
		Load: map[string]float64{"util": 0.5, "x0": 1}, Length: 10,
	}
	got, err := ReadResponse(bufio.NewReader(strings.NewReader(string(AppendResponse(nil, &a)))), 100)
	if err != nil || got.Tag != a.Tag || got.Reason != policy.ReasonCoalesced || got.DelayMillis != 1.5 || got.Load["util"] != 0.5 || got.Length != 10 {
		t.Fatalf("%+v, %v", got, err)
	}
	none := Response{ID: "ab", Status: StatusMiss}
	if got, err := ReadResponse(bufio.NewReader(strings.NewReader(string(AppendResponse(nil, &none)))), 100); err != nil || got.Status != StatusMiss {
		t.Fatalf("%+v, %v", got, err)
	}
}
