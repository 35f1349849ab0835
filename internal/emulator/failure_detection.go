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
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
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
		peers = append(peers, operatorconfig.MembershipPeer{Name: routerName(i), Addr: addr.String()})
		listens = append(listens, addr.String()) // reserved for TCP as well
	}
	key := filepath.Join(dir, "members.key")
	if err := os.WriteFile(key, []byte(membershipKey), 0o600); err != nil {
		return nil, 0, err
	}
	defaults := scenario.Default()
	defaults.Fleet.Membership = true
	start := func(i int) (*exec.Cmd, error) {
		operator, err := yaml.Marshal(operatorconfig.Config{Membership: &operatorconfig.Membership{Name: routerName(i), Listen: peers[i].Addr, KeyFile: key, Peers: peers[:min(routers, 3)]}})
		if err != nil {
			return nil, err
		}
		text, err := json.Marshal(map[string]any{
			"name": routerName(i), "listen": listens[i], "seed": fmt.Sprint(i + 1), "board": "127.0.0.1:1",
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": defaults.Settings(0, 0),
			"known": json.RawMessage(`{"rev":0,"notices":[]}`),
		})
		if err != nil {
			return nil, err
		}
		config, yamlPath := filepath.Join(dir, routerName(i)+".json"), filepath.Join(dir, routerName(i)+".yaml")
		if err := cmp.Or(os.WriteFile(config, text, 0o600), os.WriteFile(yamlPath, operator, 0o600)); err != nil {
			return nil, err
		}
		cmd := exec.CommandContext(ctx, program, "serve", "--config", config, "--operator", yamlPath, "--log-format", "json")
		for _, variable := range os.Environ() {
			if !strings.HasPrefix(variable, "LB_") {
				cmd.Env = append(cmd.Env, variable)
			}
		}
		cmd.Env = append(cmd.Env, "QUILLDOOR_TEST_MAIN=1")
		r, w := io.Pipe()
		cmd.Stderr = w
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		goroutines.Go(func() {
			scan := bufio.NewScanner(r)
			for scan.Scan() {
				var parsed struct{ Msg, Member string }
				if json.Unmarshal(scan.Bytes(), &parsed) == nil && parsed.Member != "" {
					select {
					case lines <- line{i, parsed.Msg, parsed.Member, time.Now()}:
					case <-ctx.Done():
					}
				}
			}
			_, _ = io.Copy(io.Discard, r) // until the process ends
		})
		goroutines.Go(func() { _ = cmd.Wait(); w.Close() })
		return cmd, nil
	}
	var cmds []*exec.Cmd
	for i := range routers {
		cmd, err := start(i)
		if err != nil {
			return nil, 0, err
		}
		cmds = append(cmds, cmd)
	}
	// until collects lines of a kind about one until so many routers have logged them.
	collect := func(msg, member string, want int, within time.Duration) (last time.Time, ok bool) {
		seen, timer := map[int]bool{}, time.After(within)
		for len(seen) < want {
			select {
			case parsed := <-lines:
				if parsed.msg == msg && (parsed.member == member || member == "") {
					seen[parsed.by], last = true, parsed.at
				}
			case <-timer:
				return last, false
			case <-ctx.Done():
				return last, false
			}
		}
		return last, true
	}
	collect("", "", 1, 15*time.Second) // all that they say while they find each other
	random := rand.New(rand.NewPCG(seed, 5))
	times = hdrhistogram.New(1000, 60_000_000, 3)
	for range kills {
		i := random.IntN(routers)
		began := time.Now()
		if err := cmds[i].Process.Kill(); err != nil {
			return nil, 0, err
		}
		if last, ok := collect("member dead", routerName(i), routers-1, 15*time.Second); ok {
			times.RecordValue(last.Sub(began).Microseconds())
		} else {
			missed++
		}
		if cmds[i], err = start(i); err != nil {
			return nil, 0, err
		}
		collect("member alive", routerName(i), routers-1, 10*time.Second)
		collect("", "", 1, time.Second+time.Duration(random.IntN(500))*time.Millisecond)
	}
	return times, missed, ctx.Err()
}
