package emulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// asked is a txn that the router has, with its hops so far.
type asked struct {
	*simulation.Ask
	hops    int
	cancel  context.CancelFunc
	carried bool // for a router of another site
}

// Ask sends a client's request.
func (v *sockets) Ask(a *simulation.Ask) {
	r := v.routers[a.Router]
	ctx, cancel := context.WithCancel(v.ctx)
	x := &asked{Ask: a, cancel: cancel}
	r.asks[a.Txn] = x
	listen := r.listen
	v.all.Go(func() {
		outcome, issued, stay, wrong := v.request(ctx, listen, a)
		v.send(func() {
			cancel()
			if wrong != "" {
				v.Note(&eventlog.Entry{Kind: eventlog.KindWrong, At: v.world.Now(), Router: a.Router, Request: a.Txn, State: wrong})
			}
			v.everywhere(a.Txn)
			if outcome == "" && r.asks[a.Txn] == x {
				v.broke++
			}
			if outcome == "refused" && r.asks[a.Txn] == x {
				v.refused++
				delete(r.asks, a.Txn)
				v.world.Refused(a.Router, a.Txn)
			} else if outcome != "" && r.asks[a.Txn] == x {
				delete(r.asks, a.Txn)
				v.world.Final(a.Router, a.Txn, outcome, issued, stay)
			}
		})
	})
}

// everywhere forgets a txn at routers that carried it for another.
func (v *sockets) everywhere(txn string) {
	for _, r := range v.routers {
		if x := r.asks[txn]; x != nil && x.carried {
			delete(r.asks, txn)
		}
	}
}

// carried finds a txn that another site's router has handed over.
func (r *process) carried(txn string) *asked {
	for _, home := range r.routers {
		if x := home.asks[txn]; x != nil && !x.carried && r.gate != "" && home.gate != "" {
			b := *x.Ask
			b.Router = r.id
			mine := &asked{Ask: &b, cancel: func() {}, carried: true}
			r.asks[txn] = mine
			r.Note(&eventlog.Entry{Kind: eventlog.KindForwarded, At: r.world.Now(), Router: r.id, Request: txn, Attempt: home.id})
			return mine
		}
	}
	return nil
}

// request is a try over HTTP. No outcome: there was no answer.
func (v *sockets) request(ctx context.Context, listen string, a *simulation.Ask) (outcome string, issued, stay int64, wrong string) {
	method, body := "GET", []byte(nil)
	if a.Write {
		method, body = "PUT", []byte("accepted "+a.Txn)
	}
	name := v.world.RuleOf(a.Rule).Name
	url := "http://" + listen + "/rpc/" + name + "/" + a.Object
	if a.Rule == scenario.ClassVideo {
		url += "/n-" + strconv.FormatInt(a.Part, 10)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	q.Header.Set("X-Txn", a.Txn)
	q.Header.Set("X-Ttl-Ms", strconv.FormatInt(max(a.Limit/1000, 1), 10))
	q.Header.Set("X-Shard", strconv.FormatInt(a.Group, 10))
	if a.Again {
		q.Header.Set("X-Second-Try", "1")
	}
	res, err := v.client.Do(q)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "refused", 0, 0, ""
	}
	if err != nil {
		return
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return
	}
	switch res.StatusCode {
	case 200:
		if a.Write {
			if string(got) != "recorded accepted "+a.Txn {
				wrong = fmt.Sprintf("%.40q for an acceptance", got)
			}
			return "completed", 0, 0, wrong
		}
		issued, wrong = readBody(got, a)
		return "completed", issued, 0, wrong
	case 429, 503:
		ms, _ := strconv.ParseInt(res.Header.Get("X-Throttle-Ms"), 10, 32)
		return "rejected", 0, ms * 1000, ""
	}
	return "aborted", 0, 0, ""
}

// bodyOf is a copy's bytes: they tell what it is and when it was given out.
func bodyOf(object string, part, issued int64, kb float64) []byte {
	line := fmt.Appendf(nil, "%s/%d@%d;", object, part, issued)
	n := max(int(kb*1000), len(line))
	b := bytes.Repeat(line, n/len(line)+1)
	return b[:n]
}

func readBody(got []byte, a *simulation.Ask) (issued int64, wrong string) {
	line, _, _ := bytes.Cut(got, []byte(";"))
	at := bytes.LastIndexByte(line, '@')
	if at < 0 {
		return 0, fmt.Sprintf("%.40q", line)
	}
	issued, err := strconv.ParseInt(string(line[at+1:]), 10, 64)
	if err != nil || !bytes.Equal(got, bodyOf(a.Object, a.Part, issued, a.SizeKB)) {
		return 0, fmt.Sprintf("%.40q, %d bytes for %s/%d", line, len(got), a.Object, a.Part)
	}
	return issued, ""
}

// Leave ends a client's wait: it closes its connection.
func (v *sockets) Leave(router int, txn string) {
	if x := v.routers[router].asks[txn]; x != nil {
		delete(v.routers[router].asks, txn)
		v.everywhere(txn)
		x.cancel()
	}
}
