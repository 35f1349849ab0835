package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"quilldoor/internal/loopback"
	"quilldoor/internal/operatorconfig"
)

const (
	// detectionMemoryMB and detectionSockets are the limits of each router process.
	detectionMemoryMB = 64
	detectionSockets  = 256
	// detectionSeeds is how many routers the others know from the start.
	detectionSeeds = 3
)

// startAll reserves addresses for the routers and starts them.
func (d *detectionRun) startAll(routers int) error {
	for i := range routers {
		addr, err := loopback.Reserve() // for UDP and TCP
		if err != nil {
			return err
		}
		d.peers = append(d.peers, operatorconfig.MembershipPeer{Name: routerName(i), Addr: addr.String()})
	}
	if err := os.WriteFile(d.keyFile, []byte(membershipKey), 0o600); err != nil {
		return err
	}
	d.commands = make([]*exec.Cmd, routers)
	for i := range routers {
		if err := d.start(i); err != nil {
			return err
		}
	}
	return nil
}

// start starts a router process and follows its log.
func (d *detectionRun) start(i int) error {
	config, operator, err := d.writeConfig(i)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(d.ctx, d.program,
		"serve", "--config", config, "--operator", operator, "--log-format", "json")
	cmd.Env = routerEnvironment()
	reader, writer := io.Pipe()
	cmd.Stderr = writer
	if err := cmd.Start(); err != nil {
		return err
	}
	d.goroutines.Go(func() { d.followLog(i, reader) })
	d.goroutines.Go(func() {
		_ = cmd.Wait() // it is killed
		writer.Close()
	})
	d.commands[i] = cmd
	return nil
}

// writeConfig writes a router's two configuration files: the platform's and the operator's.
func (d *detectionRun) writeConfig(i int) (config, operator string, err error) {
	name := routerName(i)
	operatorText, err := yaml.Marshal(operatorconfig.Config{Membership: &operatorconfig.Membership{
		Name: name, Listen: d.peers[i].Addr, KeyFile: d.keyFile, Peers: d.peers[:min(len(d.peers), detectionSeeds)],
	}})
	if err != nil {
		return "", "", err
	}
	configText, err := json.Marshal(platformConfig{
		Name:      name,
		Listen:    d.peers[i].Addr,
		Seed:      fmt.Sprint(i + 1),
		Discovery: "127.0.0.1:1", // nobody listens there
		Limits:    processLimits{Cores: processCores, MemoryMB: detectionMemoryMB, Sockets: detectionSockets},
		Settings:  d.scenario.Settings(0, 0),
		Known:     discoveryUpdate{Events: []json.RawMessage{}},
	})
	if err != nil {
		return "", "", err
	}
	config = filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(config, configText, 0o600); err != nil {
		return "", "", err
	}
	operator = filepath.Join(d.dir, name+".yaml")
	return config, operator, os.WriteFile(operator, operatorText, 0o600)
}

// followLog passes on what a router logs about members, until its process ends.
func (d *detectionRun) followLog(router int, log io.Reader) {
	scanner := bufio.NewScanner(log)
	for scanner.Scan() {
		var line struct{ Msg, Member string }
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Member == "" {
			continue
		}
		select {
		case d.events <- memberEvent{router, line.Msg, line.Member, time.Now()}:
		case <-d.ctx.Done():
		}
	}
	_, _ = io.Copy(io.Discard, log) // a line that is too long ends the scan, not the process
}
