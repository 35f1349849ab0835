package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// router is a router process, started by the command 'run' of the deploy file.
type router struct {
	command *exec.Cmd
	addr    string
	ended   chan struct{}
}

var memoryMB = 192

// object is a JSON object.
type object = map[string]any

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// runCommand returns the command 'run' of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml: no run line")
	}
	return string(match[1]), nil
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startRouter starts a router and waits until it is ready.
func (r *run) startRouter(name, board string, known, settings object) (*router, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(object{
		"name": name, "listen": addr, "seed": "8c1f30d27a5be964", "board": board,
		"limits":           object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"flow_bytes_per_s": 0, "link_bytes_per_s": 0, "known": known, "settings": settings,
	})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	process := exec.Command("/bin/sh", "-c", command)
	process.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_NAME="+name, "LB_LISTEN="+addr)
	process.Stdout = log
	process.Stderr = log
	if err := process.Start(); err != nil {
		return nil, err
	}
	started := &router{command: process, addr: addr, ended: make(chan struct{})}
	go func() {
		_ = process.Wait() // how it ends is seen by its clients
		close(started.ended)
	}()
	r.add("router %s started, pid %d, address %s", name, process.Process.Pid, addr)
	if err := started.awaitReady(); err != nil {
		started.stop()
		return nil, err
	}
	return started, nil
}

func (p *router) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + p.addr + "/health")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the router at %s was not ready within 10 s", p.addr)
}

// running reports whether the process has not ended.
func (p *router) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop ends the process.
func (p *router) stop() {
	const patience = 8 * time.Second
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-p.ended:
		return
	case <-time.After(patience):
	}
	_ = p.command.Process.Kill()
	<-p.ended
}

// keepLog copies the router's log next to the record.
func (r *run) keepLog(name string) {
	text, err := os.ReadFile(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return
	}
	r.add("log of router %s:\n%s", name, text)
}
