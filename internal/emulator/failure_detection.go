package emulator

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"

	"quilldoor/internal/loopback"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/scenario"
)

// Detection starts so many router processes that know each other, kills one after
// another, and takes the time, in microseconds, until the last of the others has
// logged that it holds it dead. Missed are those of whom that did not happen.
func Detection(ctx context.Context, program string, routers, kills int, seed uint64) (times *hdrhistogram.Histogram, missed int, err error) {
	if program, err = findProgram(program); err != nil {
		return nil, 0, err
	}
	dir, err := os.MkdirTemp("", "quilldoor-lab-")
	if err != nil {
		return nil, 0, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	type line struct {
		by     int
		msg    string
		member string
		at     time.Time
	}
	lines := make(chan line, 4096)
	var peers []operatorconfig.MembershipPeer
	var listens []string
	for i := range routers {
		addr, err := loopback.Reserve()
		if err != nil {
			return nil, 0, err
		}
		peers = append(peers, operatorconfig.MembershipPeer{Name: nameOf(i), Addr: addr.String()})
		listens = append(listens, addr.String()) // reserved for TCP as well
	}
	key := filepath.Join(dir, "members.key")
	if err := os.WriteFile(key, []byte(membersKey), 0o600); err != nil {
		return nil, 0, err
	}
	s := scenario.Default()
	s.Fleet.Membership = true
	start := func(i int) (*exec.Cmd, error) {
		own, err := yaml.Marshal(operatorconfig.Config{Membership: &operatorconfig.Membership{Name: nameOf(i), Listen: peers[i].Addr, KeyFile: key, Peers: peers[:min(routers, 3)]}})
		if err != nil {
			return nil, err
		}
		text, err := json.Marshal(map[string]any{
			"name": nameOf(i), "listen": listens[i], "seed": fmt.Sprint(i + 1), "board": "127.0.0.1:1",
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": s.Settings(0, 0),
			"known": json.RawMessage(`{"rev":0,"notices":[]}`),
		})
		if err != nil {
			return nil, err
		}
		config, yamlPath := filepath.Join(dir, nameOf(i)+".json"), filepath.Join(dir, nameOf(i)+".yaml")
		if err := cmp.Or(os.WriteFile(config, text, 0o600), os.WriteFile(yamlPath, own, 0o600)); err != nil {
			return nil, err
		}
		cmd := exec.CommandContext(ctx, program, "serve", "--config", config, "--operator", yamlPath, "--log-format", "json")
		for _, e := range os.Environ() {
			if !strings.HasPrefix(e, "LB_") {
				cmd.Env = append(cmd.Env, e)
			}
		}
		cmd.Env = append(cmd.Env, "QUILLDOOR_TEST_MAIN=1")
		r, w := io.Pipe()
		cmd.Stderr = w
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		all.Go(func() {
			scan := bufio.NewScanner(r)
			for scan.Scan() {
				var l struct{ Msg, Member string }
				if json.Unmarshal(scan.Bytes(), &l) == nil && l.Member != "" {
					select {
					case lines <- line{i, l.Msg, l.Member, time.Now()}:
					case <-ctx.Done():
					}
				}
			}
			_, _ = io.Copy(io.Discard, r) // until the process ends
		})
		all.Go(func() { _ = cmd.Wait(); w.Close() })
		return cmd, nil
	}
	var cmds []*exec.Cmd
	for i := range routers {
		c, err := start(i)
		if err != nil {
			return nil, 0, err
		}
		cmds = append(cmds, c)
	}
	// until collects lines of a kind about one until so many routers have logged them.
	until := func(msg, member string, want int, within time.Duration) (last time.Time, ok bool) {
		seen, timer := map[int]bool{}, time.After(within)
		for len(seen) < want {
			select {
			case l := <-lines:
				if l.msg == msg && (l.member == member || member == "") {
					seen[l.by], last = true, l.at
				}
			case <-timer:
				return last, false
			case <-ctx.Done():
				return last, false
			}
		}
		return last, true
	}
	until("", "", 1, 15*time.Second) // all that they say while they find each other
	dice := rand.New(rand.NewPCG(seed, 5))
	times = hdrhistogram.New(1000, 60_000_000, 3)
	for range kills {
		i := dice.IntN(routers)
		began := time.Now()
		if err := cmds[i].Process.Kill(); err != nil {
			return nil, 0, err
		}
		if last, ok := until("member dead", nameOf(i), routers-1, 15*time.Second); ok {
			times.RecordValue(last.Sub(began).Microseconds())
		} else {
			missed++
		}
		if cmds[i], err = start(i); err != nil {
			return nil, 0, err
		}
		until("member alive", nameOf(i), routers-1, 10*time.Second)
		until("", "", 1, time.Second+time.Duration(dice.IntN(500))*time.Millisecond)
	}
	return times, missed, ctx.Err()
}
