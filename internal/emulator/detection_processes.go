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
	// detectionMemoryMB and detectionSockets are the limits of each measured router process.
	detectionMemoryMB = 64
	detectionSockets  = 256
	// detectionSeeds is the number of seed peers in each router's membership configuration.
	detectionSeeds = 3
)

// startAll reserves an address for each router, writes the membership key and starts the routers.
func (d *detectionRun) startAll(routers int) error {
	for i := range routers {
		addr, err := loopback.Reserve() // used for UDP by the membership and for TCP by clients
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
func (d *detectionRun) start(router int) error {
	config, operator, err := d.writeConfig(router)
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
	d.goroutines.Go(func() { d.followLog(router, reader) })
	d.goroutines.Go(func() {
		_ = cmd.Wait() // always an error, as the process is killed
		writer.Close()
	})
	d.commands[router] = cmd
	return nil
}

// writeConfig writes a router's two configuration files, the platform's and the operator's, and
// returns their paths.
func (d *detectionRun) writeConfig(router int) (config, operator string, err error) {
	name := routerName(router)
	operatorText, err := yaml.Marshal(operatorconfig.Config{Membership: &operatorconfig.Membership{
		Name: name, Listen: d.peers[router].Addr, KeyFile: d.keyFile, Peers: d.peers[:min(len(d.peers), detectionSeeds)],
	}})
	if err != nil {
		return "", "", err
	}
	configText, err := json.Marshal(platformConfig{
		Name:      name,
		Listen:    d.peers[router].Addr,
		Seed:      fmt.Sprint(router + 1),
		Discovery: "127.0.0.1:1", // no discovery service: connections are refused
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

// followLog sends the lines about members in a router's log to d.events until its process ends.
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
	// A line that is too long ends the scan. The rest of the log is still read, so that the
	// process doesn't block when it logs.
	_, _ = io.Copy(io.Discard, log)
}
