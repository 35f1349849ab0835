package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// routerProcess is a router process with the emulator's sockets that serve only this router: its
// discovery service and one listener for each server.
type routerProcess struct {
	*socketRun
	id int

	clientAddr     string
	gatewayAddr    string         // "": no gateway, as there is one site
	membershipAddr netip.AddrPort // invalid: the scenario has no membership

	cmd          *exec.Cmd
	startCount   int
	exited       chan struct{} // closed when cmd has exited
	killed       bool          // the emulator has killed or stopped cmd: its exit is no failure
	costCounted  *exec.Cmd     // the last process that the run's cost includes
	orphanGroups []int         // process groups of killed supervisors, whose generations may still run
	log          logTail
	starveTicker *time.Ticker // ticks when the next pause begins; nil: the process is not starved

	slowness          *slowDiscovery // of the router's discovery service; nil: it answers at once
	discoveryListener net.Listener
	discoveryEvents   []json.RawMessage          // by revision, from 1; a start of the process begins a new list
	eventPosted       chan struct{}              // closed when the next discovery event is posted
	servers           map[string]*serverListener // by server ID
	requests          map[string]*clientRequest  // open requests by request ID, with those forwarded to this router
}

// findProgram returns the path of the router's program, which must exist. An empty name stands
// for quilldoor in the folder of the running program.
func findProgram(name string) (string, error) {
	if name == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		name = filepath.Join(filepath.Dir(self), "quilldoor")
	}
	if _, err := os.Stat(name); err != nil {
		return "", fmt.Errorf("router program: %w", err)
	}
	return name, nil
}

// discoveryReadTimeout is the time limit for reading a request to the discovery service.
const discoveryReadTimeout = 10 * time.Second

// prepare reserves the router's addresses, and starts its discovery service and its listeners for
// the servers.
func (r *routerProcess) prepare() error {
	if err := r.reserveAddresses(); err != nil {
		return err
	}
	var err error
	if r.discoveryListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	if r.config.SlowDiscovery {
		r.slowness = newSlowDiscovery(r.options.Seed, r.id)
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serveLongPoll), ReadTimeout: discoveryReadTimeout}
	r.goroutines.Go(func() { _ = server.Serve(r.discoveryListener) }) // returns when the listener is closed
	r.goroutines.Go(func() {
		<-r.ctx.Done()
		server.Close()
	})
	for _, s := range r.simulation.EndpointList() {
		if _, err := r.listenerFor(s.ID); err != nil {
			return err
		}
	}
	return nil
}

// runsEarlierVersion reports whether the router runs SocketOptions.Earlier, as every second one does
// if that is set.
func (r *routerProcess) runsEarlierVersion() bool { return r.config.Earlier != "" && r.id%2 == 1 }

// configPath is the path of the router's configuration file that the platform writes.
func (r *routerProcess) configPath() string {
	return filepath.Join(r.dir, r.platformName()+".json")
}
