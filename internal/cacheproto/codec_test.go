package cacheproto

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"quilldoor/internal/policy"
)

func TestCommandsAreWritten(t *testing.T) {
	get := &GetCommand{ID: "9b", Class: "page", Object: "x", Part: 3, BudgetMillis: 150, Length: 0}
	want := "GET 9b queue=page,path=x,blk=3,budget=150 0\r\n"
	if got := string(AppendGet(nil, get)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	get.Source, get.Priority, get.MaxAgeMillis, get.FillMode, get.Tag, get.Length = "o-1", 2, 40, 1|2|8, "tag", 7
	want = "GET 9b queue=page,path=x,blk=3,budget=150,miss=o-1,prio=2,within=40,f=wait-for+no-fetch+background,mine=tag 7\r\n"
	if got := string(AppendGet(nil, get)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	if got := string(AppendPing(AppendDrop(nil, "9b"), "p1")); got != "DROP 9b\r\nPING p1\r\n" {
		t.Errorf("drop and ping are written as %q", got)
	}
}

func read(text string) (Response, error) {
	return ReadResponse(bufio.NewReaderSize(strings.NewReader(text), 256), 1000)
}

func TestResponseIsRead(t *testing.T) {
	response, err := read("9b ACK entity=4be0,issued=1764576000123,detail=MISS_ORIGIN,delay=12.5,use=util:0.61;x1:2,new=1 9\r\n")
	if err != nil || response.ID != "9b" || response.Status != StatusOK || response.Tag != "4be0" || response.IssuedMillis != 1764576000123 || response.Reason != policy.ReasonMissOrigin ||
		response.OriginWaitMillis != 12.5 || response.Load["util"] != 0.61 || response.Load["x1"] != 2 || response.Length != 9 {
		t.Fatalf("response %+v, error %v", response, err)
	}
	if response, err := read("p1 READY\r\n"); err != nil || response.Status != StatusReady || response.Length >= 0 {
		t.Fatalf("answer to a ping %+v, error %v", response, err)
	}
}

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, text := range []string{
		"9b ACK - -1\r\n", "9b ACK - 1001\r\n", "9b ACK - 99999999999999999999\r\n", "9b ACK -\r\n", "9b HELLO - 0\r\n",
		" ACK - 0\r\n", "9b ACK - 0\n", "9b ACK delay 0\r\n", "9b ACK delay=x 0\r\n", "9b ACK use=a:b 0\r\n",
		"9b ACK issued=1.5 0\r\n", "\r\n",
		// NaN, Inf and negative numbers must not reach the policy's calculations.
		"9b EIO delay=NaN 0\r\n", "9b EIO delay=-1 0\r\n", "9b EIO use=util:Inf 0\r\n",
		"9b NOMOD entity=e,issued=7 1\r\n",
		"9b ACK entity=" + strings.Repeat("x", 300) + " 0\r\n",
	} {
		if _, err := read(text); !errors.Is(err, ErrProtocol) {
			t.Errorf("response %.50q: error %v, want ErrProtocol", text, err)
		}
	}
	if _, err := read("9b ACK - 0"); err == nil || errors.Is(err, ErrProtocol) {
		t.Errorf("incomplete line: error %v, want one that is no protocol violation", err)
	}
	if err := ReadBodyEnd(bufio.NewReader(strings.NewReader("xx"))); !errors.Is(err, ErrProtocol) {
		t.Errorf("no CR LF after a body: error %v, want ErrProtocol", err)
	}
}

// FuzzReadResponse searches for panics, and for accepted responses with a length
// outside the limits or without a status.
func FuzzReadResponse(f *testing.F) {
	f.Add("9b ACK entity=4be0,issued=1,detail=HIT,delay=0.5,use=util:0.6;x0:1 9\r\n")
	f.Add("p READY\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		response, err := read(text)
		if err == nil && (response.Length > 1000 || response.Length < 0 && response.Status != StatusReady || response.Status == 0) {
			t.Fatalf("accepted response %+v", response)
		}
	})
}

// Commands that a router writes are read by a cache server with the same content, and
// so are responses in the other direction.
func TestBothSidesAgree(t *testing.T) {
	get := GetCommand{
		ID: "ab", Class: "page", Object: "o1", Part: 3, BudgetMillis: 70, Source: "s", Priority: 2,
		MaxAgeMillis: 500, FillMode: 11, Tag: "t", Length: 4,
	}
	command, err := ReadCommand(bufio.NewReader(strings.NewReader(string(AppendGet(nil, &get)))))
	if err != nil || command.Get == nil || *command.Get != get {
		t.Fatalf("read command %+v, error %v; want %+v", command.Get, err, get)
	}
	for _, line := range []string{"DROP ab", "PING ab"} {
		if command, err := ReadCommand(bufio.NewReader(strings.NewReader(line + "\r\n"))); err != nil || command.DropID+command.PingID != "ab" {
			t.Errorf("%q was read as %+v, error %v; want the id \"ab\"", line, command, err)
		}
	}
	for _, malformed := range []string{"GET a b 1\r\n", "GET a queue=x -1\r\n", "GET a f=never 0\r\n", "GET a odd=1 0\r\n", "HELO\r\n", "DROP a\n"} {
		if _, err := ReadCommand(bufio.NewReader(strings.NewReader(malformed))); err == nil {
			t.Errorf("malformed command %q was accepted", malformed)
		}
	}
	response := Response{
		ID: "ab", Status: StatusOK, Tag: "t", IssuedMillis: 9, Reason: policy.ReasonCoalesced, OriginWaitMillis: 1.5,
		Load: map[string]float64{"util": 0.5, "x0": 1}, Length: 10,
	}
	got, err := ReadResponse(bufio.NewReader(strings.NewReader(string(AppendResponse(nil, &response)))), 100)
	if err != nil || got.Tag != response.Tag || got.Reason != policy.ReasonCoalesced || got.OriginWaitMillis != 1.5 || got.Load["util"] != 0.5 || got.Length != 10 {
		t.Fatalf("read response %+v, error %v; want %+v", got, err, response)
	}
	miss := Response{ID: "ab", Status: StatusMiss}
	if got, err := ReadResponse(bufio.NewReader(strings.NewReader(string(AppendResponse(nil, &miss)))), 100); err != nil || got.Status != StatusMiss {
		t.Fatalf("read response %+v, error %v; want %+v", got, err, miss)
	}
}
