package http1

import (
	"bufio"
	"errors"
	"strings"
	"testing"
)

var limits = Limits{MaxBytes: 1000, MaxFields: 5, MaxBody: 100}

func read(text string) (*Head, error) {
	return ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 512), limits)
}

func TestRequestIsRead(t *testing.T) {
	head, err := read("PUT /rpc/a/b HTTP/1.1\r\nHost: x\r\nX-Txn:  7 \r\nContent-Length: 3\r\nConnection: foo, Close\r\n\r\nabc")
	if err != nil {
		t.Fatal(err)
	}
	if value, _ := head.Get("x-txn"); value != "7" || head.Method != "PUT" || head.Target != "/rpc/a/b" || head.ContentLength != 3 || !head.Close {
		t.Fatalf("%+v", head)
	}
}

func TestMalformedRequestsHaveAStatus(t *testing.T) {
	for text, status := range map[string]int{
		"GET /\r\n\r\n":                                                                      400,
		"GET / HTTP/1.1 x\r\n\r\n":                                                           400,
		"G@T / HTTP/1.1\r\n\r\n":                                                             400,
		"GET /\x01 HTTP/1.1\r\nHost: x\r\n\r\n":                                              400,
		"GET / HTTP/3.0\r\n\r\n":                                                             505,
		"GET / HTTP/1.1\r\n\r\n":                                                             400, // no Host
		"GET / HTTP/1.1\r\nHost x\r\n\r\n":                                                   400,
		"GET / HTTP/1.1\r\nHost : x\r\n\r\n":                                                 400,
		"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                                       400,
		"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n":                                       400,
		"GET / HTTP/1.1\r\nContent-Length: 1e1\r\n\r\n":                                      400,
		"GET / HTTP/1.1\r\nContent-Length: 101\r\n\r\n":                                      413,
		"GET / HTTP/1.1\r\nContent-Length: 1" + strings.Repeat("0", 40) + "\r\n\r\n":         413,
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                   400,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":                               501,
		"GET /" + strings.Repeat("x", 600) + " HTTP/1.1\r\n\r\n":                             431,
		"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 6) + "\r\n":                        431,
		"GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("b", 400)+"\r\n", 3) + "": 431,
	} {
		_, err := read(text)
		var httpError *Error
		if !errors.As(err, &httpError) || httpError.Status != status {
			t.Errorf("request %.60q: error %v, want status %d", text, err, status)
		}
	}
}

func TestHalfARequestIsNoHTTPError(t *testing.T) {
	for _, text := range []string{"", "GET / HT", "GET / HTTP/1.1\r\nHost: x\r\n"} {
		_, err := read(text)
		var httpError *Error
		if err == nil || errors.As(err, &httpError) {
			t.Errorf("request %q: error %v, want one that is not an *Error", text, err)
		}
	}
}

func TestResponseIsRead(t *testing.T) {
	head, err := ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")), limits)
	if err != nil || head.Status != 200 || head.ContentLength != 2 {
		t.Fatalf("head %+v, error %v", head, err)
	}
	for _, text := range []string{"HTTP/1.1 abc\r\n\r\n", "ICY 200 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "\r\n\r\n"} {
		if _, err := ReadResponse(bufio.NewReader(strings.NewReader(text)), limits); err == nil {
			t.Errorf("malformed response %q was accepted", text)
		}
	}
}

func TestResponseIsWritten(t *testing.T) {
	got := string(AppendResponse(nil, 304, 0, true, Field{"ETag", `"x"`}))
	if want := "HTTP/1.1 304 Not Modified\r\nConnection: close\r\nETag: \"x\"\r\n\r\n"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	if got := string(AppendResponse(nil, 200, 5, false)); got != "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" {
		t.Errorf("response with a body of 5 bytes: %q", got)
	}
}

// FuzzReadRequest searches for panics, and for accepted heads that exceed the limits
// or have no target.
func FuzzReadRequest(f *testing.F) {
	f.Add("GET /rpc/a/b HTTP/1.1\r\nHost: x\r\nX-Txn: 0123456789abcdef\r\n\r\n")
	f.Add("PUT / HTTP/1.0\r\nContent-Length: 100\r\nExpect: 100-continue\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		head, err := read(text)
		if err == nil && (head.ContentLength < 0 || head.ContentLength > limits.MaxBody || len(head.Fields) > limits.MaxFields || head.Target == "") {
			t.Fatalf("%+v", head)
		}
	})
}
