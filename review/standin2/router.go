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
	"strings"
	"sync"
	"syscall"
	"time"
)

// router is a process of the project's router, started by the command of the deploy file.
type router struct {
	name, listen string
	folder       string // its own, temporary
	root         string // of the project
	command      string
	env          []string
	process      *exec.Cmd
	log          *os.File
	ended        chan error
}

// started holds the processes that the case has started.
var started struct {
	mu   sync.Mutex
	list []*os.Process
}

// killAll kills all processes that the case has started.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, process := range started.list {
		syscall.Kill(-process.Pid, syscall.SIGKILL)
	}
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// runCommand returns the command by which the deploy file starts a router.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no line run")
	}
	return string(found[1]), nil
}

// newRouter prepares a router; start starts it.
func newRouter(root, folder, name string) (*router, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	own := filepath.Join(folder, name)
	if err := os.MkdirAll(own, 0o700); err != nil {
		return nil, err
	}
	return &router{name: name, listen: listen, folder: own, root: root, command: command}, nil
}

// configure writes the router's configuration file, as the platform does.
func (r *router) configure(b *board, limits, settings map[string]any, flowBytes int) error {
	known, _ := b.since(0)
	text, err := json.MarshalIndent(map[string]any{
		"name": r.name, "listen": r.listen, "seed": "8c1f30d27a5be964",
		"limits": limits, "board": b.addr, "flow_bytes_per_s": flowBytes, "link_bytes_per_s": 40 * flowBytes,
		"known": known, "settings": settings,
	}, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(r.folder, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts the process and waits until it is ready.
func (r *router) start() error {
	log, err := os.OpenFile(filepath.Join(r.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.log = log
	r.process = exec.Command("/bin/sh", "-c", r.command)
	r.process.Dir = r.root
	r.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that its children end with it
	r.process.Stdout = log
	r.process.Stderr = log
	r.process.Env = append(os.Environ(),
		"LB_NAME="+r.name, "LB_LISTEN="+r.listen, "LB_CONFIG="+filepath.Join(r.folder, "config.json"))
	r.process.Env = append(r.process.Env, r.env...)
	if err := r.process.Start(); err != nil {
		return err
	}
	started.mu.Lock()
	started.list = append(started.list, r.process.Process)
	started.mu.Unlock()
	ended := make(chan error, 1)
	r.ended = ended
	process := r.process
	go func() { ended <- process.Wait() }()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + r.listen + "/health"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("router %s is not ready: %s", r.name, r.tail())
}

// stop kills the process with its children and waits for its end.
func (r *router) stop() {
	if r.process == nil || r.process.Process == nil {
		return
	}
	syscall.Kill(-r.process.Process.Pid, syscall.SIGKILL)
	select {
	case err := <-r.ended:
		if err == nil {
			break // it ended by itself
		}
	case <-time.After(5 * time.Second):
	}
	r.log.Close()
	r.process = nil
}

// tail returns the end of the router's log.
func (r *router) tail() string {
	text, _ := os.ReadFile(filepath.Join(r.folder, "log.txt"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-12, 0):], "\n")
}
