package downstream

import (
	"io"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/engine"
)

// Guards against discarding a response that was decided after its request's deadline, and closing
// the connection without a byte, while the client still waits.
func TestLateResponseIsWritten(t *testing.T) {
	const late = 450 * time.Millisecond // within the half second in which a late response still counts
	s := newTestServer(t, 1, time.Minute)
	for kind, want := range map[engine.CommandKind]string{engine.CommandReject: "503", engine.CommandFail: "504"} {
		clientEnd, serverEnd := connectedPair(t)
		x := &exchange{server: s.Server, client: serverEnd, deadline: time.Now().Add(-late), closeAfter: true}
		if !x.respond(&engine.Command{Kind: kind}) {
			t.Errorf("the %s was not written", want)
		}
		serverEnd.Close()
		got, err := io.ReadAll(clientEnd)
		if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 "+want) {
			t.Errorf("response %q, error %v, want a %s", got, err, want)
		}
	}
}

// Guards against waiting without a bound for a client that reads none of its late responses.
func TestLateWriteToAClientThatReadsNothingEnds(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	s.limits.LingeringCloseTimeout = 50 * time.Millisecond
	clientEnd, serverEnd := connectedPair(t)
	if err := clientEnd.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	x := &exchange{server: s.Server, client: serverEnd, deadline: time.Now().Add(-time.Second)}
	began := time.Now()
	for x.write(200, nil) { // until the socket's buffers are full
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the write ended after %v", took)
	}
}
